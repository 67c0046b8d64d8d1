package access

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestGuard checks that only the credential opens the port, and that a new
// credential in the file takes over without a restart.
func TestGuard(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	write(t, path, "first-credential-0000\n", time.Unix(1000, 0))
	now := time.Unix(5000, 0)
	g, err := NewGuard(path, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	h := g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	expect(t, h, "", http.StatusUnauthorized)
	expect(t, h, "Bearer wrong", http.StatusUnauthorized)
	expect(t, h, "first-credential-0000", http.StatusUnauthorized)
	expect(t, h, "Bearer first-credential-0000", http.StatusOK)

	write(t, path, "second-credential-111", time.Unix(2000, 0))
	now = now.Add(2 * lookInterval)
	expect(t, h, "Bearer first-credential-0000", http.StatusUnauthorized)
	expect(t, h, "Bearer second-credential-111", http.StatusOK)

	// A change that can't be used leaves the old one in force.
	write(t, path, "short", time.Unix(3000, 0))
	now = now.Add(2 * lookInterval)
	expect(t, h, "Bearer short", http.StatusUnauthorized)
	expect(t, h, "Bearer second-credential-111", http.StatusOK)
}

func TestGuardRefusesShortCredential(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	write(t, path, "short", time.Unix(1000, 0))
	if _, err := NewGuard(path, time.Now); err == nil {
		t.Fatal("a short credential was accepted")
	}
}

func write(t *testing.T, path, text string, at time.Time) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, h http.Handler, authorization string, status int) {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/status", nil)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code != status {
		t.Errorf("authorization %q: status %d, want %d", authorization, w.Code, status)
	}
}
