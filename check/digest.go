package check

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the XXH64 hash of body in hexadecimal, as used in records and
// headers.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
