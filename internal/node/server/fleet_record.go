package server

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/wire"
)

const (
	// recordRetryDelay is the wait after a failed write of the record, in ms. Guards against a write loop on a full
	// disk.
	recordRetryDelay agent.Milliseconds = 1000
	// sendRecordTimeout fits a record of the maximum size on a slow network.
	sendRecordTimeout = 20 * time.Second
)

// recordStore is the state of the node's record on disk. The loop's goroutine uses it; a write works on a copy of the
// record.
type recordStore struct {
	record  agent.Record
	writing bool               // a write is in progress
	pending bool               // another write is due
	retryAt agent.Milliseconds // earliest time of the next write
	sending bool               // the record is being sent to the instance that collects records
}

// nextRetry returns the earliest time of the pending write, 0 if none is pending.
func (r *recordStore) nextRetry() agent.Milliseconds {
	if !r.pending {
		return 0
	}
	return r.retryAt
}

// loadStored reads the record from the node's folder; nil without a folder or a record.
func (f *fleetAgent) loadStored() (*agent.Record, error) {
	if f.config.Folder == "" {
		return nil, nil
	}
	if err := removeUnfinished(f.config.Folder); err != nil { // not fatal: the folder is usable with them
		f.log.WithError(err).Warn(logTempFilesNotRemoved)
	}
	found, err := loadRecord(f.config.Folder, &f.record.record)
	if err != nil || !found {
		return nil, err
	}
	return &f.record.record, nil
}

// loadStoredVersions makes the versions in the record available, except those that conflict with the platform's
// settings.
func (f *fleetAgent) loadStoredVersions() {
	r := &f.record.record
	for _, stored := range []fetchedVersion{
		{version: api.VersionHash{Version: r.ActiveVersion, Hash: r.ActiveHash}, text: r.ActiveText},
		{version: api.VersionHash{Version: r.PreparedVersion, Hash: r.PreparedHash}, text: r.PreparedText}} {
		if stored.version.Version == 0 || stored.text == "" {
			continue
		}
		settings, err := f.checkVersion(stored.version, stored.text)
		if err != nil {
			f.log.WithFields(logrus.Fields{logging.PolicyVersion: stored.version.Version, logging.Error: err}).
				Warn(logStoredVersionUnusable)
			f.agent.DropPrepared(stored.version.Version)
			continue
		}
		stored.settings = settings
		f.versions.available[stored.version.Version] = stored
	}
}

// storeRecord writes the record, if there is a folder, in a goroutine that ends with the write. While one write is in
// progress the next is left pending.
func (f *fleetAgent) storeRecord() {
	r := &f.record
	if f.config.Folder == "" {
		return
	}
	if r.writing {
		r.pending = true
		return
	}
	f.updateRecord()
	if r.record.PreparedVersion <= r.record.ActiveVersion {
		r.record.PreparedVersion, r.record.PreparedText, r.record.PreparedHash = 0, "", ""
	}
	r.writing, r.pending = true, false
	record, folder := r.record, f.config.Folder
	go func() {
		err := writeRecordFile(folder, &record)
		f.host.runOnLoop(func() { f.recordStored(f.clock(), record.PreparedVersion, err) })
	}()
}

// updateRecord copies the agent's state into the record.
func (f *fleetAgent) updateRecord() {
	r, seen := &f.record.record, f.agent.LastSeen()
	r.Cluster, r.MinVersion, r.ZoneOrder = f.agent.Cluster(), f.agent.MinVersion(), f.agent.StoredZoneOrder()
	r.Generation, r.Term, r.Index, r.EntryChecksum = seen.Generation, seen.Term, seen.Index, seen.EntryChecksum
	active := f.agent.ActiveVersion()
	if active == r.ActiveVersion {
		return
	}
	if v, ok := f.versions.available[active]; ok {
		r.ActiveVersion, r.ActiveText, r.ActiveAutonomous = active, v.text, v.settings.Document.Fleet.Autonomous
		r.ActiveHash = document.Hash([]byte(v.text))
	}
}

// recordStored handles the end of a write of a record with this prepared version. The current version is reported as
// prepared only once it is on disk. Guards against a node that restarts without a version that it had reported. After
// an error the record is written to a new file, as the state of the first is unknown: see row "write or sync of the
// policy's record: any" in docs/design/failures.md.
func (f *fleetAgent) recordStored(now agent.Milliseconds, prepared uint64, err error) {
	r := &f.record
	r.writing = false
	if err != nil {
		f.log.WithError(err).Error(logRecordNotStored)
		r.pending, r.retryAt = true, now+recordRetryDelay
	} else if prepared != 0 && prepared == f.versions.current.Version && prepared > f.agent.ActiveVersion() {
		f.versionPrepared(now)
	}
	f.storePending(now)
}

// storePending writes the record if a write is pending and due, after a failure or a change during a write.
func (f *fleetAgent) storePending(now agent.Milliseconds) {
	if r := &f.record; r.pending && !r.writing && now >= r.retryAt {
		f.storeRecord()
	}
}

// sendRecord sends the node record to the instance that collects records for a restoration, at most one at a time. Its
// goroutine and connection end with the response.
func (f *fleetAgent) sendRecord() {
	if f.record.sending {
		return
	}
	f.record.sending = true
	f.updateRecord()
	record, address := f.nodeRecord(), f.agent.LastContacted()
	go func() {
		request := &controlRequest{address: address, method: methodPost, path: pathNodeRecord,
			timeout: sendRecordTimeout}
		response := controlResponse{}
		if request.body, response.err = json.Marshal(&record); response.err == nil {
			client := &controlClient{}
			response = client.do(request)
			client.close()
		}
		f.host.runOnLoop(func() { f.recordSent(address, response) })
	}()
}

// recordSent handles the response to a node record.
func (f *fleetAgent) recordSent(address string, r controlResponse) {
	f.record.sending = false
	if r.err == nil && r.status != wire.StatusOK {
		r.err = &statusError{r.status, r.body}
	}
	if r.err != nil {
		f.logLimited(logrus.Fields{logging.Address: address, logging.Error: r.err}, logRecordNotSent)
	}
}

// nodeRecord builds the message with the node's record: group position, active and prepared version, and zone quota.
func (f *fleetAgent) nodeRecord() api.NodeRecord {
	r, conf := &f.record.record, f.agent.Config()
	record := api.NodeRecord{Name: conf.Name, Zone: conf.Zone, Addr: conf.Address, Group: r.Cluster,
		Generation: max(1, r.Generation), Term: r.Term, Index: r.Index, ActiveVersion: r.ActiveVersion,
		ActiveHash: r.ActiveHash,
		ActiveText: r.ActiveText, MinVersion: r.MinVersion, Autonomous: r.ActiveAutonomous,
		LeaseMS: f.agent.LeaseDuration()}
	if r.PreparedVersion > r.ActiveVersion {
		record.PreparedVersion, record.PreparedHash, record.PreparedText =
			r.PreparedVersion, r.PreparedHash, r.PreparedText
	}
	for n, v := range f.versions.available { // at most one beside the active version
		if n > r.ActiveVersion && record.PreparedVersion == 0 {
			record.PreparedVersion, record.PreparedText = n, v.text
			record.PreparedHash = document.Hash([]byte(v.text))
		}
	}
	if r.ZoneOrder != nil {
		record.ZoneEpoch, record.ZoneShare = r.ZoneOrder.Epoch, r.ZoneOrder.Share
	}
	return record
}
