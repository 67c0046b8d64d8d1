package access

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestGuard checks that only the credential is accepted and that a changed
// file takes effect without a restart.
func TestGuard(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	write(t, path, "first-credential-0000\n", time.Unix(1000, 0))
	now := time.Unix(5000, 0)
	g, err := NewGuard(path, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	h := g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	expectStatus(t, h, "", http.StatusUnauthorized)
	expectStatus(t, h, "Bearer wrong", http.StatusUnauthorized)
	expectStatus(t, h, "first-credential-0000", http.StatusUnauthorized)
	expectStatus(t, h, "Bearer first-credential-0000", http.StatusOK)

	write(t, path, "second-credential-111", time.Unix(2000, 0))
	now = now.Add(2 * checkInterval)
	expectStatus(t, h, "Bearer first-credential-0000", http.StatusUnauthorized)
	expectStatus(t, h, "Bearer second-credential-111", http.StatusOK)

	// An invalid change leaves the old credential in force.
	write(t, path, "short", time.Unix(3000, 0))
	now = now.Add(2 * checkInterval)
	expectStatus(t, h, "Bearer short", http.StatusUnauthorized)
	expectStatus(t, h, "Bearer second-credential-111", http.StatusOK)
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

func expectStatus(t *testing.T, h http.Handler, authorization string, status int) {
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
