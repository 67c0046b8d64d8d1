package standin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/check"
)

// Headers between callers, entry hosts and endpoints.
const (
	// RequestIDHeader is added by entry hosts.
	RequestIDHeader = "Fireflygate-Request-Id"
	// BookingKeyHeader is the caller's idempotency key.
	BookingKeyHeader = "Idempotency-Key"
	// CallHeader is the caller's own name for a request; it is echoed.
	CallHeader = "Standin-Call"
	// WorkHeader is how long a request takes, in milliseconds.
	WorkHeader = "Standin-Work-Ms"
	// SizeHeader is how many bytes the answer has; without it the answer's
	// body is the request's.
	SizeHeader = "Standin-Answer-Bytes"
	// EchoHeader is the check.Digest of the request's body.
	EchoHeader = "Standin-Echo"
	// AnswerDigestHeader is the check.Digest of the answer's body.
	AnswerDigestHeader = "Standin-Answer-Digest"
	// EndpointHeader is the name of the endpoint that answered.
	EndpointHeader = "Standin-Endpoint"
)

// maxAnswerBytes bounds the answer that a request may ask for.
const maxAnswerBytes = 16 << 20

// endpointRequest is one request as an endpoint reads it.
type endpointRequest struct {
	serial  uint64
	request string
	call    string
	method  string
	key     string
	body    []byte
	// work is the time asked for; negative if the request names none.
	work time.Duration
	// size is the size of the answer's body; negative for an echo.
	size int
}

// readRequest reads a whole request.
func readRequest(w http.ResponseWriter, r *http.Request) (*endpointRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		return nil, err
	}
	in := &endpointRequest{
		request: r.Header.Get(RequestIDHeader),
		call:    r.Header.Get(CallHeader),
		method:  r.Method,
		key:     r.Header.Get(BookingKeyHeader),
		body:    body,
		work:    -1,
		size:    -1,
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(WorkHeader), 64); err == nil && ms >= 0 {
		in.work = time.Duration(ms * float64(time.Millisecond))
	}
	if n, err := strconv.Atoi(r.Header.Get(SizeHeader)); err == nil && n >= 0 {
		in.size = min(n, maxAnswerBytes)
	}
	return in, nil
}

// answer returns the body of the answer, which depends on the request alone.
func (in *endpointRequest) answer() []byte {
	if in.size < 0 {
		return in.body
	}
	seed := []byte(check.Digest(in.body) + in.call + "\n")
	return bytes.Repeat(seed, in.size/len(seed)+1)[:in.size]
}

// began returns the record of the request's beginning.
func (in *endpointRequest) began(c EndpointConfig) *check.RequestBegan {
	return &check.RequestBegan{
		Endpoint:   c.Name,
		Serial:     in.serial,
		Request:    in.request,
		Call:       in.call,
		Method:     in.method,
		BookingKey: in.key,
		Digest:     check.Digest(in.body),
		Slots:      c.Slots,
	}
}
