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
	// recordRetryDelay is waited after a write of the record that failed: a full disk is not written to without end.
	recordRetryDelay agent.Milliseconds = 1000
	// sendRecordTimeout is for a record of the largest size over a poor line.
	sendRecordTimeout = 20 * time.Second
)

// recordStore is where the node's record on disk stands.
type recordStore struct {
	record  agent.Record
	writing bool               // off the loop
	pending bool               // it has to be written again
	retryAt agent.Milliseconds // but not before then
	sending bool               // it is on its way to whoever restores the group
}

// nextRetry is when the record is to be written again, 0 where nothing is pending.
func (r *recordStore) nextRetry() agent.Milliseconds {
	if !r.pending {
		return 0
	}
	return r.retryAt
}

// loadStored reads the record of the node's folder, nil where there is none.
func (f *fleetAgent) loadStored() (*agent.Record, error) {
	if f.config.Folder == "" {
		return nil, nil
	}
	if err := removeUnfinished(f.config.Folder); err != nil { // the folder serves with them
		f.log.WithError(err).Warn(logTempFilesNotRemoved)
	}
	found, err := loadRecord(f.config.Folder, &f.record.record)
	if err != nil || !found {
		return nil, err
	}
	return &f.record.record, nil
}

// loadStoredVersions takes the versions of the record that still fit the platform's settings.
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

// storeRecord has the record written, if there is a folder, off the loop: by a goroutine that ends with the write, of
// which there is one at a time.
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
		err := storeRecord(folder, &record)
		f.host.runOnLoop(func() { f.recordStored(f.clock(), record.PreparedVersion, err) })
	}()
}

// updateRecord brings the record up to what the agent knows.
func (f *fleetAgent) updateRecord() {
	r, seen := &f.record.record, f.agent.LastSeen()
	r.Cluster, r.MinVersion, r.ZoneOrder = f.agent.Cluster(), f.agent.MinVersion(), f.agent.StoredZoneOrder()
	r.Generation, r.Term, r.Index, r.EntryChecksum = seen.Generation, seen.Term, seen.Index, seen.EntryChecksum
	active := f.agent.ActiveVersion()
	if active == r.ActiveVersion {
		return
	}
	if v, atHand := f.versions.available[active]; atHand {
		r.ActiveVersion, r.ActiveText, r.ActiveAutonomous = active, v.text, v.settings.Document.Fleet.Autonomous
		r.ActiveHash = document.Hash([]byte(v.text))
	}
}

// recordStored takes what came of a write with that prepared version. The current version counts as prepared once it
// is on disk: a node that said so and forgot would start without it after it was decided. After an error it is written
// to a new file, as the first may be there or not: see row "write or sync of the policy's record: any" in
// docs/design/failures.md.
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

// storePending writes the record again that could not be written, or that changed meanwhile.
func (f *fleetAgent) storePending(now agent.Milliseconds) {
	if r := &f.record; r.pending && !r.writing && now >= r.retryAt {
		f.storeRecord()
	}
}

// sendRecord tells whoever restores the group what this node holds, off the loop: by a goroutine that ends with the
// response, of which there is one at a time, over a connection of its own that is closed then.
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

// recordSent takes what came of that.
func (f *fleetAgent) recordSent(address string, r controlResponse) {
	f.record.sending = false
	if r.err == nil && r.status != wire.StatusOK {
		r.err = &statusError{r.status, r.body}
	}
	if r.err != nil {
		f.logLimited(logrus.Fields{logging.Address: address, logging.Error: r.err}, logRecordNotSent)
	}
}

// nodeRecord is what this node holds of its fleet.
func (f *fleetAgent) nodeRecord() api.NodeRecord {
	r, about := &f.record.record, f.agent.Config()
	out := api.NodeRecord{Name: about.Name, Zone: about.Zone, Addr: about.Address, Group: r.Cluster,
		Generation: max(1, r.Generation), Term: r.Term, Index: r.Index, ActiveVersion: r.ActiveVersion,
		ActiveHash: r.ActiveHash,
		ActiveText: r.ActiveText, MinVersion: r.MinVersion, Autonomous: r.ActiveAutonomous,
		LeaseMS: f.agent.LeaseDuration()}
	if r.PreparedVersion > r.ActiveVersion {
		out.PreparedVersion, out.PreparedHash, out.PreparedText = r.PreparedVersion, r.PreparedHash, r.PreparedText
	}
	for n, v := range f.versions.available { // beside the active one there is one at most
		if n > r.ActiveVersion && out.PreparedVersion == 0 {
			out.PreparedVersion, out.PreparedText, out.PreparedHash = n, v.text, document.Hash([]byte(v.text))
		}
	}
	if r.ZoneOrder != nil {
		out.ZoneEpoch, out.ZoneShare = r.ZoneOrder.Epoch, r.ZoneOrder.Share
	}
	return out
}
