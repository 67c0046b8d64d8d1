package cli

import "net/http"

// bearer adds the operators' credential to each request as a bearer token.
type bearer struct {
	next  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}
