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
	c := &cobra.Command{Use: "snapshot", Short: "Save a group's state to a file, or begin a new group from one"}
	c.AddCommand(&cobra.Command{Use: "save FILE", Short: "Save the state, as new as any answer before",
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
				res.Header.Get(consensus.HeaderVersion),
				n, args[0])
			return nil
		}})
	var file string
	restore := &cobra.Command{Use: "restore FILE",
		Short: "Make an empty folder the first instance of a new group",
		Args:  exactArgs(1), Long: `Writes the saved state into the folder of the operator's file, which has to be empty, as
the first instance of a new group with an id of its own. For when a majority of the old group is lost for good: what
was agreed on after the save is lost, and what is left of the old group is refused by the new one.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := config.ReadControl(file)
			if err != nil {
				return usageError(err)
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(err)
			}
			dir, err := wal.MakeDir(o.Data)
			if err != nil {
				return err
			}
			v, err := consensus.Restore(dir, consensus.ConfigFrom(o), raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "a new group of one with version %d from %s; what came after it is lost.\n"+
				"Start it with: umberctl control run --file %s\n", v.Number, args[0], file)
			return nil
		}}
	restore.Flags().StringVar(&file, "file", "deploy/control.ini", "the operator's file of the instance")
	c.AddCommand(restore)
	return c
}

// saveFile writes beside and renames, so that a file is there whole or not at all.
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
