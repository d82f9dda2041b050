package api

import (
	"fmt"

	"umberwinch/internal/config"
)

const maxWord = 80 // bytes of an address or nonce

// JoinRequest asks for a new incarnation.
type JoinRequest struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Nonce    string `json:"nonce"`
	UptimeMS uint64 `json:"up_ms,omitempty"` // since its process began; 0: not said
	// The leader's word, whatever a node says: the process that joins is the one that had the name's last lease.
	SameProcess bool `json:"same,omitempty"`
}

// Validate says what is wrong with a join before it is proposed.
func (j *JoinRequest) Validate() error {
	switch {
	case !config.IsName(j.Name):
		return fmt.Errorf("name: found %.50q, expected up to 40 letters, digits, '-', '_' and '.'", j.Name)
	case !config.IsName(j.Zone):
		return fmt.Errorf("zone: found %.50q, expected up to 40 letters, digits, '-', '_' and '.'", j.Zone)
	case len(j.Addr) > maxWord:
		return fmt.Errorf("addr: found %d bytes, expected at most %d", len(j.Addr), maxWord)
	case len(j.Nonce) < 8 || len(j.Nonce) > maxWord:
		return fmt.Errorf("nonce: found %d bytes, expected 8 to %d", len(j.Nonce), maxWord)
	}
	return nil
}
