package booking

import (
	"context"
	"crypto/sha256"

	"github.com/fireflygate/fireflygate/outcome"
)

// Request names what is to run at most once.
type Request struct {
	// Service and Key identify it.
	Service string
	Key     string
	// Digest is the hash of what the request asks for; see Digest.
	Digest []byte
}

// Run dispatches the request. It is called at most once per claim.
type Run func(ctx context.Context) (Response, outcome.Refusal)

// Digest returns the hash of a request's method, path and body, which tells a
// retry from another request under the same key.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum(nil)
}
