package access

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// minSecretBytes is the minimum length of the credential.
const minSecretBytes = 16

// Guard admits HTTP requests that carry the operators' credential as a bearer
// token.
type Guard struct {
	secret *watchedFile[[sha256.Size]byte]
}

// NewGuard reads the credential from a file and reads it again when the file
// changes. Surrounding white space is ignored.
func NewGuard(path string, now func() time.Time) (*Guard, error) {
	g := &Guard{secret: &watchedFile[[sha256.Size]byte]{path: path, parse: parseSecret, now: now}}
	_, err := g.secret.get()
	return g, err
}

func parseSecret(data []byte) ([sha256.Size]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < minSecretBytes {
		return [sha256.Size]byte{}, errors.Newf("credential of %d bytes, expected at least %d", len(data), minSecretBytes)
	}
	return sha256.Sum256(data), nil
}

// Wrap returns a handler that refuses requests without the credential. It
// compares in constant time.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want, err := g.secret.get()
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if err != nil || !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operator credential required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
