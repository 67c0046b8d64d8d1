package peer

import (
	"bufio"
	"io"
)

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 16 << 10

// newFrameReader buffers a connection, so that a header costs no system call.
func newFrameReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readBuffer)
}
