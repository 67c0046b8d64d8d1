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
	// RequestIDHeader is the request's identifier, added by entry hosts.
	RequestIDHeader = "Fireflygate-Request-Id"
	// BookingKeyHeader is the caller's idempotency key.
	BookingKeyHeader = "Idempotency-Key"
	// CallHeader is an identifier chosen by the caller; responses echo it.
	CallHeader = "Standin-Call"
	// WorkHeader is the processing time of the request, in milliseconds.
	WorkHeader = "Standin-Work-Ms"
	// SizeHeader is the size of the response body in bytes; without it the
	// response echoes the request's body.
	SizeHeader = "Standin-Answer-Bytes"
	// EchoHeader is the check.Digest of the request's body.
	EchoHeader = "Standin-Echo"
	// AnswerDigestHeader is the check.Digest of the response's body.
	AnswerDigestHeader = "Standin-Answer-Digest"
	// EndpointHeader is the name of the endpoint that responded.
	EndpointHeader = "Standin-Endpoint"
)

// maxResponseBytes is the largest response size that a request may ask for.
const maxResponseBytes = 16 << 20

// endpointRequest is a parsed request to an endpoint.
type endpointRequest struct {
	// life is the life of the endpoint that processes the request, serial its number
	// there.
	life    *endpointLife
	serial  uint64
	request string
	call    string
	method  string
	key     string
	body    []byte
	// work is the requested processing time; negative if unspecified.
	work time.Duration
	// size is the size of the response body in bytes; negative to echo body.
	size int
}

// readRequest reads and parses a request. Malformed headers count as absent.
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
		in.size = min(n, maxResponseBytes)
	}
	return in, nil
}

// reply returns the response body, which is a function of the request.
func (in *endpointRequest) reply() []byte {
	if in.size < 0 {
		return in.body
	}
	seed := []byte(check.Digest(in.body) + in.call + "\n")
	return bytes.Repeat(seed, in.size/len(seed)+1)[:in.size]
}

// began returns the record of the request's start.
func (in *endpointRequest) began(c EndpointConfig) *check.RequestBegan {
	return &check.RequestBegan{
		Endpoint:   c.Name,
		Zone:       c.Zone,
		Life:       in.life.number,
		Serial:     in.serial,
		Request:    in.request,
		Call:       in.call,
		Method:     in.method,
		BookingKey: in.key,
		Digest:     check.Digest(in.body),
		Slots:      c.Slots,
	}
}
