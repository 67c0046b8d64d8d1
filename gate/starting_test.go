package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestStartingHostRefuses checks that a starting host answers health checks and
// rejects callers' requests without running them.
func TestStartingHostRefuses(t *testing.T) {
	ran := 0
	g := &Gate{}
	h := g.rejectWhileStarting(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	for _, path := range []string{"/call/dispatch/book", "/jobs"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		if w.Code != http.StatusServiceUnavailable || outcome.Parse(w.Header().Get(outcome.Header)) != outcome.NotRun {
			t.Errorf("%s: status %d, header %v; want 503 and not_run", path, w.Code, w.Header())
		}
	}
	if ran > 0 {
		t.Fatalf("%d requests ran on a starting host, want 0", ran)
	}
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/readyz", nil))
	g.state.Store(int32(Ready))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/jobs", nil))
	if ran != 2 {
		t.Errorf("%d requests passed, want 2", ran)
	}
}
