package gateway

import (
	"io"
	"log/slog"

	"github.com/fireflygate/fireflygate/event"
)

// responseBody is the body of a response to the caller. The generated handler
// writes an error response if the first read fails, and aborts the connection
// if a later one does.
type responseBody struct {
	call    *httpCall
	body    io.ReadCloser
	log     *slog.Logger
	started bool // bytes have been read
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil || err == io.EOF {
		b.started = b.started || n > 0
		return n, err
	}
	if b.started || n > 0 {
		event.ResponseAborted.Log(b.log, slog.String("cause", err.Error()))
		return n, err
	}
	b.call.response = nil
	b.call.refusal = unknownOutcome(ReasonCutOff)
	return 0, newProblem(b.call.refusal)
}

// Close implements io.Closer.
func (b *responseBody) Close() error { return b.body.Close() }
