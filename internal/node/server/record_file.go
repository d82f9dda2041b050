package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"umberwinch/internal/node/agent"
)

// recordFile is the name of the record's file in the node's folder.
const recordFile = "policy.json"

// errUnreadableRecord is the error of a record that is not valid JSON of its type.
var errUnreadableRecord = errors.New("expected a record written by this program; remove the file to start without one")

// writeRecordFile writes the record to a temporary file, syncs it, renames it and syncs the folder. Guards against a
// crash during the write, after which the node would not know its active version: either the old or the new record is
// complete. See row "process killed while it writes its record" in docs/design/shutdown.md.
func writeRecordFile(folder string, record *agent.Record) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(folder, recordFile+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails after the rename, which is fine
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), filepath.Join(folder, recordFile)); err != nil {
		return err
	}
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// removeUnfinished removes the temporary files of writes that a kill interrupted. Guards against a folder that fills
// with them. None is in use, as no other process writes to the folder. See row "process killed while it writes its
// record" in docs/design/shutdown.md.
func removeUnfinished(folder string) error {
	unfinished, err := filepath.Glob(filepath.Join(folder, recordFile+".*"))
	for _, file := range unfinished {
		err = errors.Join(err, os.Remove(file))
	}
	return err
}

// loadRecord reads the record; found is false if the folder has none. The error of a truncated or altered record wraps
// errUnreadableRecord, and the node does not start: writeRecordFile leaves only complete records.
func loadRecord(folder string, record *agent.Record) (found bool, err error) {
	file := filepath.Join(folder, recordFile)
	raw, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err = json.Unmarshal(raw, record); err != nil {
		return false, fmt.Errorf("%s: %w, %w", file, err, errUnreadableRecord)
	}
	return true, nil
}
