package peer

import (
	"bufio"
	"io"
)

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 16 << 10

// newFrameReader returns a buffered reader, so that reading a header takes no
// system call of its own.
func newFrameReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readBuffer)
}
