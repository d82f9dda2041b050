package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"umberwinch/internal/config"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/wal"
)

func newControlSnapshot(a *clientOptions) *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "Save a group's state, or create a new group from a saved state"}
	c.AddCommand(&cobra.Command{Use: "save FILE", Short: "Save the group's current state to a file",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			res, err := c.send(cmd.Context(), http.MethodGet, "/v1/snapshot", nil)
			if err != nil {
				return err
			}
			defer res.Body.Close()
			n, err := saveFile(args[0], res.Body)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "saved version %s, %d bytes, to %s\n",
				res.Header.Get(consensus.HeaderVersion), n, args[0])
			return nil
		}})
	var file string
	restore := &cobra.Command{Use: "restore FILE",
		Short: "Create a new group of one instance from a saved state",
		Args:  exactArgs(1),
		Long: `Write the saved state into the data folder named in --file, which must be empty, as the first
instance of a new group with a new id. Use it when a majority of the old group is permanently lost: changes after the
save are lost, and the new group rejects the remaining instances of the old one.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := config.ReadControl(file)
			if err != nil {
				return usageError(err)
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(err)
			}
			dir, err := wal.MakeDir(settings.Data)
			if err != nil {
				return err
			}
			v, err := consensus.Restore(dir, consensus.ConfigFrom(settings), raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "created a new group of one instance with version %d from %s; "+
				"later changes are lost.\nStart it with: umberctl control run --file %s\n", v.Number, args[0], file)
			return nil
		}}
	restore.Flags().StringVar(&file, "file", "deploy/control.ini", "settings file of the instance")
	c.AddCommand(restore)
	return c
}

// saveFile writes to a temporary file and renames it, so that path never holds a partial file.
func saveFile(path string, from io.Reader) (int64, error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return 0, err
	}
	defer os.Remove(f.Name())
	n, err := io.Copy(f, from)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return n, err
	}
	return n, os.Rename(f.Name(), path)
}
