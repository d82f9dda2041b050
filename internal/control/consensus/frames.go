package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
)

// Frame of a connection between instances: length u32 of kind and data | checksum u32 | kind u8 | data, in
// little-endian order. The checksum is CRC-32C over kind and data.
const (
	frameHello    byte = 1 // first frame of the connecting instance, a Hello
	frameAccepted byte = 2 // response to frameHello: a Hello of the accepting instance
	frameRefused  byte = 3 // response to frameHello: the reason as JSON; the connection closes
	frameMessage  byte = 4 // a raft message
	frameSnapshot byte = 5 // on a bulk connection: a snapshotAnnouncement
	frameChunk    byte = 6 // part of the serialized state
	frameDone     byte = 7 // response to a complete snapshot

	frameHeaderBytes = 8
	// maxFrameBytes holds one raft message: maxMessageBytes, and one entry with the largest document in its longest
	// JSON escaping.
	maxFrameBytes = 16 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func writeFrame(w io.Writer, kind byte, data []byte) error {
	header := make([]byte, frameHeaderBytes+1)
	binary.LittleEndian.PutUint32(header, uint32(len(data)+1))
	header[frameHeaderBytes] = kind
	sum := crc32.Update(crc32.Checksum(header[frameHeaderBytes:], crcTable), crcTable, data)
	binary.LittleEndian.PutUint32(header[4:], sum)
	if _, err := w.Write(header); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// readFrame reads one frame into a new slice. The error is that of the reader, or a *FrameError for a frame that is
// longer than maxBytes or fails its checksum.
func readFrame(r io.Reader, maxBytes int) (kind byte, data []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(header[:])
	if n == 0 || int64(n) > int64(maxBytes) {
		return 0, nil, &FrameError{fmt.Sprintf("of %d bytes", n), fmt.Sprintf("1 to %d", maxBytes)}
	}
	raw := make([]byte, n)
	if _, err = io.ReadFull(r, raw); err != nil {
		return 0, nil, err
	}
	if sum := crc32.Checksum(raw, crcTable); sum != binary.LittleEndian.Uint32(header[4:]) {
		return 0, nil, &FrameError{fmt.Sprintf("whose sum is %08x", sum),
			fmt.Sprintf("%08x", binary.LittleEndian.Uint32(header[4:]))}
	}
	return raw[0], raw[1:], nil
}

// writeJSON writes a frame with a value encoded as JSON.
func writeJSON(w io.Writer, kind byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeFrame(w, kind, raw)
}
