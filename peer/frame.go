package peer

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// A frame is a header and a msgpack body:
//
//	4 bytes  length of the body, big-endian
//	1 byte   format of the frame
//	8 bytes  xxhash64 of the body, big-endian
const (
	frameFormat = 1
	headerSize  = 4 + 1 + 8
)

// maxBatchBytes is the size from which on no further frames are added to a
// batch of queued frames.
const maxBatchBytes = 64 << 10

// putHeader fills in the header of a frame whose body is already in place.
func putHeader(frame []byte) {
	body := frame[headerSize:]
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = frameFormat
	binary.BigEndian.PutUint64(frame[5:], xxhash.Sum64(body))
}

// readFrame reads one frame and returns its body. After any error the stream
// is unusable.
func readFrame(r io.Reader, maxBody int) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errors.Wrap(err, "read frame header")
	}
	if header[4] != frameFormat {
		return nil, errors.Wrapf(ErrFrame, "unknown format %d", header[4])
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(maxBody) {
		return nil, errors.Wrapf(ErrFrame, "body of %d bytes exceeds the limit of %d", size, maxBody)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read frame body")
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(header[5:]) {
		return nil, errors.Wrap(ErrFrame, "checksum mismatch")
	}
	return body, nil
}
