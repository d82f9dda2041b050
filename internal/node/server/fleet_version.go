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
	// minFetchTimeout is the initial timeout of a fetch; each failed fetch doubles it.
	minFetchTimeout = 2 * time.Second
	// maxFetchTimeout fits the largest document on a slow network.
	maxFetchTimeout = 20 * time.Second
	// fetchRetryDelay is the wait after a failed fetch, in ms.
	fetchRetryDelay agent.Milliseconds = 250
)

// Errors of a fetched version.
var (
	// errWrongHash is part of the reason for rejection that is sent to the group, where its text must not change.
	errWrongHash    = errors.New("found a text of another hash than was told")
	errWrongVersion = errors.New("response has a version other than the requested one")
)

// fetchedVersion is a policy version that was fetched or loaded from the record and checked against the platform's
// settings. Those in versionFetcher.available have passed their trial or need none.
type fetchedVersion struct {
	version  api.VersionHash
	text     string
	settings *overlay.Settings
}

// versionFetcher is the state of fetching policy versions, one at a time. It is used by the loop's goroutine alone,
// until the process ends.
type versionFetcher struct {
	client    *controlClient
	current   api.VersionHash // being fetched, evaluated or stored; version 0: none
	committed bool            // current is committed and needs no trial
	timeout   time.Duration
	retryAt   agent.Milliseconds
	available map[uint64]fetchedVersion // by version
}

// dropOlder removes the versions below the given one.
func (v *versionFetcher) dropOlder(version uint64) {
	for n := range v.available {
		if n < version {
			delete(v.available, n)
		}
	}
}

// finish makes way for the next version to be fetched.
func (v *versionFetcher) finish() { v.current = api.VersionHash{} }

// fetchPending fetches the version that the agent asks for, unless one is in progress.
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

// documentResponse is the control service's response to the request for a version's document.
type documentResponse struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// versionFetched handles a fetched document: one that is valid for the platform's settings is evaluated, others are
// rejected. A hash mismatch guards against a truncated document or one of another group. A failed fetch is retried
// after fetchRetryDelay: see row "read, write to the control service: any" in docs/design/failures.md.
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

// checkVersion parses a document with the expected hash and applies it to the settings in effect.
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

// rejectVersion logs message and reports to the group that this node rejects a version, and why.
func (f *fleetAgent) rejectVersion(now agent.Milliseconds, version api.VersionHash, reason error, message string,
	permanent bool) {
	f.log.WithFields(logrus.Fields{logging.PolicyVersion: version.Version, logging.Error: reason}).Warn(message)
	f.agent.RejectVersion(now, version.Version, reason.Error(), permanent)
	f.versions.finish()
}

// evaluateVersion starts the trial of a version: a shadow evaluation on recent requests, in a goroutine that ends with
// it. A committed version needs no trial and is logged as passed, with a count of 0.
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
		elapsed := time.Since(started)
		f.host.runOnLoop(func() { f.versionEvaluated(v, verdict, elapsed) })
	}()
}

// versionEvaluated handles the verdict of a trial. A version that passed is stored, after which it is prepared.
func (f *fleetAgent) versionEvaluated(v fetchedVersion, verdict shadow.Verdict, elapsed time.Duration) {
	now := f.clock()
	if verdict.Reason != "" {
		f.rejectVersion(now, v.version, errors.New(verdict.Reason), logTrialFailed, false)
		return
	}
	f.log.WithFields(logrus.Fields{logging.PolicyVersion: v.version.Version, logging.Count: verdict.Requests,
		logging.ElapsedMS: elapsed.Milliseconds()}).Info(logTrialPassed)
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

// versionPrepared marks the current version as prepared: it can be activated at any time.
func (f *fleetAgent) versionPrepared(now agent.Milliseconds) {
	f.agent.MarkPrepared(now, f.versions.current)
	f.versions.finish()
}
