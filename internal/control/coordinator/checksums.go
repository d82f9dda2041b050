package coordinator

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// EntryChecksum names an applied entry by its index and a checksum of what it says, as nodes are told it.
type EntryChecksum struct {
	Index    uint64 `json:"index"`
	Checksum uint64 `json:"sum"` // never 0
}

// maxChecksums is how many entries can be compared with what nodes were told, the newest ones: some minutes of them. A
// group that was put back to an older state is at the same indexes again within seconds. More would lengthen snapshots.
const maxChecksums = 512

// recordChecksum keeps an entry's checksum. Each stands alone, so that instances which began to keep them at different
// entries agree.
func (s *State) recordChecksum(kind string, body []byte, index, term uint64) {
	prefix := []byte(kind)
	prefix = binary.LittleEndian.AppendUint64(prefix, index)
	prefix = binary.LittleEndian.AppendUint64(prefix, term)
	digest := xxhash.New()
	digest.Write(prefix)
	digest.Write(body)
	s.Checksums = append(s.Checksums, EntryChecksum{index, max(1, digest.Sum64())})
	if len(s.Checksums) > 2*maxChecksums { // seldom, so that it costs an entry nothing
		s.Checksums = append(s.Checksums[:0], s.Checksums[len(s.Checksums)-maxChecksums:]...)
	}
}

// lastChecksum is that of the entry at Index, 0 if it is not known.
func (s *State) lastChecksum() uint64 {
	if n := len(s.Checksums); n > 0 && s.Checksums[n-1].Index == s.Index {
		return s.Checksums[n-1].Checksum
	}
	return 0
}

// checksumAt gives the checksum of the entry at an index of the log, 0 where the entry there is not of this state.
// known is false before the first that is kept and after the last.
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
