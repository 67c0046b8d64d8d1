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

// minSecret is the shortest credential accepted, in bytes.
const minSecret = 16

// Guard lets requests through that carry the operators' credential as a
// bearer token.
type Guard struct {
	secret *file[[sha256.Size]byte]
}

// NewGuard reads the credential from a file; it is read again when it changes.
func NewGuard(path string, now func() time.Time) (*Guard, error) {
	g := &Guard{secret: &file[[sha256.Size]byte]{path: path, parse: parseSecret, now: now}}
	_, err := g.secret.get()
	return g, err
}

func parseSecret(data []byte) ([sha256.Size]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < minSecret {
		return [sha256.Size]byte{}, errors.Newf("expected at least %d bytes", minSecret)
	}
	return sha256.Sum256(data), nil
}

// Wrap returns a handler that refuses requests without the credential. The
// comparison takes the same time whatever was sent.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want, err := g.secret.get()
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if err != nil || !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operators' credential wanted", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
