package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/fireflygate/fireflygate/booking"
)

// Response is an endpoint's answer.
type Response struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body returns io.EOF only at the end of a complete answer. It must be
	// closed.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
}

// wholeResponse returns a response with a complete body.
func wholeResponse(status int, header http.Header, body []byte) *Response {
	return &Response{
		Status: status,
		Header: header,
		Body:   io.NopCloser(bytes.NewReader(body)),
		Length: int64(len(body)),
	}
}

func fromBooking(a booking.Response) *Response {
	return wholeResponse(a.Status, a.Header, a.Body)
}
