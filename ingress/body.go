package ingress

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// blockBytes is the size of the blocks into which a body is read.
const blockBytes = 16 << 10

var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// ReadBody reads the whole body of a request, which may have limit bytes. The function
// release returns the memory to the budget; it must be called once the body isn't used
// any more. The error is a *RefusedError unless the caller has disconnected.
func ReadBody(r *http.Request, limit int64) (text []byte, release func(), err error) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	release = func() {
		if c != nil {
			c.releaseBody()
		}
	}
	if r.ContentLength > limit {
		err = c.tooLarge()
	} else {
		text, err = readBlocks(r.Body, limit, c)
	}
	if err != nil {
		release()
		return nil, func() {}, err
	}
	return text, release, nil
}

// tooLarge counts a body over its limit. c may be nil.
func (c *Conn) tooLarge() error {
	if c != nil {
		c.budget.refused(CauseBodySize)
	}
	return &RefusedError{CauseBodySize}
}

// readBlocks reads a body in blocks, so that it isn't copied each time it has grown.
func readBlocks(body io.Reader, limit int64, c *Conn) ([]byte, error) {
	var held []*[blockBytes]byte
	defer func() {
		for _, b := range held {
			blocks.Put(b)
		}
	}()
	var size int64
	for {
		b := blocks.Get().(*[blockBytes]byte)
		held = append(held, b)
		n, err := fill(body, b[:min(blockBytes, limit+1-size)])
		size += int64(n)
		switch {
		case size > limit:
			return nil, c.tooLarge()
		case err == io.EOF: //nolint:errorlint // readers return it unwrapped at the end
			return join(held, size), nil
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		}
	}
}

// fill reads until the block is full or an error occurs. io.ReadFull doesn't tell the end
// of a body from that of its connection.
func fill(body io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var more int
		more, err = body.Read(block[n:])
		n += more
	}
	return n, err
}

// join returns the first size bytes of the blocks.
func join(held []*[blockBytes]byte, size int64) []byte {
	text := bytes.NewBuffer(make([]byte, 0, size))
	for _, b := range held {
		text.Write(b[:min(int64(blockBytes), size-int64(text.Len()))])
	}
	return text.Bytes()
}
