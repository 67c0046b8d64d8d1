package booking

import (
	"context"
	"crypto/sha256"

	"github.com/fireflygate/fireflygate/outcome"
)

// Request identifies a request that runs at most once.
type Request struct {
	// Service and Key identify the request.
	Service string
	Key     string
	// Digest is the hash of the request's content, as returned by the function
	// Digest.
	Digest []byte
}

// Run dispatches the request. It is called at most once per claim.
type Run func(ctx context.Context) (Response, outcome.Refusal)

// Digest returns the hash of a request's method, path and body. It
// distinguishes a retry from a different request with the same key.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum(nil)
}
