package check

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the digest of a body as records and headers carry it.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
