package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/fireflygate/fireflygate/booking"
)

// Response is an endpoint's answer.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header is the end-to-end headers.
	Header http.Header
	// Body ends with io.EOF only if the answer is whole. It must be closed.
	Body io.ReadCloser
	// Length is the length of the body in bytes, -1 if not known.
	Length int64
}

// wholeResponse returns the response that holds a whole body.
func wholeResponse(status int, header http.Header, body []byte) *Response {
	return &Response{
		Status: status,
		Header: header,
		Body:   io.NopCloser(bytes.NewReader(body)),
		Length: int64(len(body)),
	}
}

func fromAnswer(a booking.Response) *Response {
	return wholeResponse(a.Status, a.Header, a.Body)
}
