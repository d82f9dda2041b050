package server

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/shadow"
)

const (
	// minFetchTimeout is enough for a document of some KB; each fetch that failed doubles it.
	minFetchTimeout = 2 * time.Second
	// maxFetchTimeout is for the largest document over a poor line.
	maxFetchTimeout = 20 * time.Second
	// fetchRetryDelay is waited after a fetch that failed: another instance may be asked by then.
	fetchRetryDelay agent.Milliseconds = 250
)

// What is wrong with a fetched version.
var (
	errWrongHash    = errors.New("found a text of another hash than was told")
	errWrongVersion = errors.New("found another version than was asked for")
)

// fetchedVersion is a version that was fetched, checked against the platform's settings, and tried or committed.
type fetchedVersion struct {
	version  api.VersionHash
	text     string
	settings *overlay.Settings
}

// versionFetcher is where the fetch of a version stands; one is on its way at a time.
type versionFetcher struct {
	client    *controlClient
	current   api.VersionHash // being fetched, tried or stored; version 0: none
	committed bool            // it is activated whatever its trial would say
	timeout   time.Duration
	retryAt   agent.Milliseconds
	available map[uint64]fetchedVersion // two or three
}

// dropOlder forgets versions before one.
func (v *versionFetcher) dropOlder(version uint64) {
	for n := range v.available {
		if n < version {
			delete(v.available, n)
		}
	}
}

// finish ends the work on the current version.
func (v *versionFetcher) finish() { v.current = api.VersionHash{} }

// fetchPending fetches the version that the agent wants, if none is on its way.
func (f *fleetAgent) fetchPending(now agent.Milliseconds) {
	v := &f.versions
	version, committed, wanted := f.agent.VersionToFetch()
	if !wanted || v.current.Version != 0 || now < v.retryAt {
		return
	}
	v.current, v.committed = version, committed
	address := f.agent.ControlAddress()
	v.client.requests <- &controlRequest{address: address, method: methodGet,
		path: fmt.Sprintf(pathDocument, version.Version), timeout: v.timeout,
		done: func(r controlResponse) {
			f.host.runOnLoop(func() { f.versionFetched(address, version, r) })
		}}
}

// documentResponse is what the control service answers for a version.
type documentResponse struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// versionFetched takes a version's document, and has it tried if it fits the platform's settings. A document that came
// torn or from a wrong folder has another hash than was told, and is not used. A fetch that failed is tried again after
// fetchRetryDelay: see row "read, write to the control service: any" in docs/design/failures.md.
func (f *fleetAgent) versionFetched(address string, version api.VersionHash, r controlResponse) {
	now, v := f.clock(), &f.versions
	var response documentResponse
	err := r.decode(&response)
	if err == nil && response.Version != version.Version {
		err = fmt.Errorf("%w: %d", errWrongVersion, response.Version)
	}
	if err != nil {
		f.logLimited(logrus.Fields{logging.PolicyVersion: version.Version, logging.Address: address,
			logging.Error: err},
			logFetchFailed)
		v.finish()
		v.retryAt = now + fetchRetryDelay
		v.timeout = min(2*v.timeout, maxFetchTimeout)
		return
	}
	settings, err := f.checkVersion(version, response.Text)
	if err != nil {
		f.rejectVersion(now, version, err, logVersionUnusable, true)
		return
	}
	v.timeout = minFetchTimeout
	f.evaluateVersion(fetchedVersion{version: version, text: response.Text, settings: settings})
}

// checkVersion reads a document and lays it over the platform's settings.
func (f *fleetAgent) checkVersion(version api.VersionHash, text string) (*overlay.Settings, error) {
	sum := sha256.Sum256([]byte(text))
	if hex.EncodeToString(sum[:]) != version.Hash {
		return nil, fmt.Errorf("version %d: %w", version.Version, errWrongHash)
	}
	doc, err := document.Parse(fmt.Sprintf("version %d", version.Version), []byte(text))
	if err != nil {
		return nil, err
	}
	return overlay.Apply(version.Version, f.host.platform(), doc, f.host.poolsEnabled())
}

// rejectVersion has the group hear that this node can't or won't serve under the current version.
func (f *fleetAgent) rejectVersion(now agent.Milliseconds, version api.VersionHash, why error, message string,
	permanent bool) {
	f.log.WithFields(logrus.Fields{logging.PolicyVersion: version.Version, logging.Error: why}).Warn(message)
	f.agent.Reject(now, version.Version, why.Error(), permanent)
	f.versions.finish()
}

// evaluateVersion evaluates a version on the requests that came lately, off the loop: by a goroutine that ends with the
// trial, of which there is one at a time. One that is committed needs no trial.
func (f *fleetAgent) evaluateVersion(v fetchedVersion) {
	if f.versions.committed || f.config.NoTrialRun {
		go f.host.runOnLoop(func() { f.versionEvaluated(v, shadow.Verdict{}, 0) })
		return
	}
	current, recording := *f.host.platform().Deployment, f.recording.Snapshot()
	rollout := &v.settings.Document.Rollout
	limits := shadow.Limits{MaxShed: rollout.MaxShedIncrease, MaxLate: rollout.MaxLateIncrease}
	go func() {
		started := time.Now()
		verdict := shadow.Evaluate(&current, v.settings.Deployment, v.settings.RetiredHandlers, recording, limits)
		took := time.Since(started)
		f.host.runOnLoop(func() { f.versionEvaluated(v, verdict, took) })
	}()
}

// versionEvaluated takes the verdict of a trial: a version that passed is stored, and then counts as prepared.
func (f *fleetAgent) versionEvaluated(v fetchedVersion, verdict shadow.Verdict, took time.Duration) {
	now := f.clock()
	if verdict.Reason != "" {
		f.rejectVersion(now, v.version, errors.New(verdict.Reason), logTrialFailed, false)
		return
	}
	f.log.WithFields(logrus.Fields{logging.PolicyVersion: v.version.Version, logging.Count: verdict.Requests,
		logging.ElapsedMS: took.Milliseconds()}).Info(logTrialPassed)
	f.versions.available[v.version.Version] = v
	if f.config.Folder == "" {
		f.versionPrepared(now)
		return
	}
	r := &f.record.record
	r.PreparedVersion, r.PreparedText, r.PreparedHash = v.version.Version, v.text, v.version.Hash
	r.PreparedAutonomous = v.settings.Document.Fleet.Autonomous
	f.storeRecord()
}

// versionPrepared tells the agent that the current version can be activated at any time.
func (f *fleetAgent) versionPrepared(now agent.Milliseconds) {
	f.agent.MarkPrepared(now, f.versions.current)
	f.versions.finish()
}
