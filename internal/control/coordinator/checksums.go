package coordinator

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// EntryChecksum is the index and the checksum of an applied entry, as sent to nodes in responses.
type EntryChecksum struct {
	Index    uint64 `json:"index"`
	Checksum uint64 `json:"sum"` // never 0
}

// maxChecksums is the number of newest entries whose checksums are kept for comparison with the positions that nodes
// report, some minutes' worth: a group that was reset to an older state is at the same indexes again within seconds.
// More would lengthen snapshots.
const maxChecksums = 512

// recordChecksum stores an entry's checksum. Checksums are not chained, so that instances agree even if they began to
// store them at different entries.
func (s *State) recordChecksum(kind string, body []byte, index, term uint64) {
	prefix := []byte(kind)
	prefix = binary.LittleEndian.AppendUint64(prefix, index)
	prefix = binary.LittleEndian.AppendUint64(prefix, term)
	digest := xxhash.New()
	digest.Write(prefix)
	digest.Write(body)
	s.Checksums = append(s.Checksums, EntryChecksum{index, max(1, digest.Sum64())})
	if len(s.Checksums) > 2*maxChecksums { // trims in bulk
		s.Checksums = append(s.Checksums[:0], s.Checksums[len(s.Checksums)-maxChecksums:]...)
	}
}

// lastChecksum returns the checksum of the entry at Index, 0 if unknown.
func (s *State) lastChecksum() uint64 {
	if n := len(s.Checksums); n > 0 && s.Checksums[n-1].Index == s.Index {
		return s.Checksums[n-1].Checksum
	}
	return 0
}

// checksumAt returns the checksum of the entry at a log index, 0 if that index holds no entry applied to this state.
// known is false before the first checksum kept and after the last.
func (s *State) checksumAt(index uint64) (checksum uint64, known bool) {
	i := sort.Search(len(s.Checksums), func(i int) bool { return s.Checksums[i].Index >= index })
	switch {
	case i == len(s.Checksums) || i == 0 && s.Checksums[0].Index != index:
		return 0, false
	case s.Checksums[i].Index != index:
		return 0, true
	}
	return s.Checksums[i].Checksum, true
}
