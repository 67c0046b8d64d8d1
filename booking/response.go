package booking

import "net/http"

// Response is an endpoint's complete HTTP response.
type Response struct {
	// Status is the HTTP status code.
	Status int `msgpack:"s"`
	// Header holds the end-to-end headers.
	Header http.Header `msgpack:"h,omitempty"`
	// Body is the complete body.
	Body []byte `msgpack:"b,omitempty"`
}
