package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"umberwinch/internal/node/agent"
)

// recordFile has the record of a node with a folder.
const recordFile = "policy.json"

// errUnreadableRecord is a record that this program can't have written.
var errUnreadableRecord = errors.New("expected what this program wrote; remove it to begin without")

// storeRecord writes the record to a file beside and renames it. Guards against a crash in the middle of the write:
// the node would start without knowing which version it served under. The older or the newer record is there as a
// whole, since a rename is atomic and the file was synced before it, and the folder after it. See row "process killed
// amid its record" in docs/design/shutdown.md.
func storeRecord(folder string, record *agent.Record) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(folder, recordFile+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // gone already after the rename
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

// removeUnfinished removes what a kill left of records that were being written. Guards against a folder that fills with
// them, one for each such kill. No other process writes there, so none of them is in use. See row "process killed amid
// its record" in docs/design/shutdown.md.
func removeUnfinished(folder string) error {
	unfinished, err := filepath.Glob(filepath.Join(folder, recordFile+".*"))
	for _, file := range unfinished {
		err = errors.Join(err, os.Remove(file))
	}
	return err
}

// loadRecord reads what storeRecord wrote; found is false for a new node's folder. An error of a record that is torn
// or altered wraps errUnreadableRecord: this program renames whole records alone, so what can't be read was not its own
// doing, and the node does not begin.
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
