package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame on a connection between instances: length u32 of what follows the sum | sum u32 | kind u8 | bytes.
// The sum, Castagnoli's, takes in kind and bytes.
const (
	frameHello    byte = 1 // the first, of the instance that connected
	frameAccepted byte = 2 // the answer: a hello in its turn
	frameRefused  byte = 3 // the answer: the reason; the connection closes
	frameMessage  byte = 4 // a message of raft
	frameSnapshot byte = 5 // on a bulk connection: raft's message without the state, and the state's size and sum
	frameChunk    byte = 6 // a part of the state
	frameDone     byte = 7 // the answer to a complete snapshot

	frameHeaderBytes = 8
	// maxFrameBytes holds one message of raft: maxMessageBytes, and an entry with the largest document as JSON
	// escapes it at worst.
	maxFrameBytes = 16 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// writeFrame writes one frame.
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

// readFrame reads one frame. data is a new slice. The error is that of the reader, or a *FrameError for a frame that is
// longer than maxBytes or whose sum is wrong.
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

// writeJSON writes a frame with a value as JSON.
func writeJSON(w io.Writer, kind byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeFrame(w, kind, raw)
}
