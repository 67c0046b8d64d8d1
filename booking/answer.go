package booking

import "net/http"

// Response is an endpoint's whole answer.
type Response struct {
	// Status is the HTTP status.
	Status int `msgpack:"s"`
	// Header is the end-to-end headers.
	Header http.Header `msgpack:"h,omitempty"`
	// Body is the whole body.
	Body []byte `msgpack:"b,omitempty"`
}
