package cli

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestOutcomeOfFailure connects to a port that nobody listens on, and to a
// server that hangs up without an answer: only the first surely did not run.
func TestOutcomeOfFailure(t *testing.T) {
	hangsUp := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer hangsUp.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for url, want := range map[string]outcome.Kind{closed.URL: outcome.NotRun, hangsUp.URL: outcome.Unknown} {
		resp, err := http.Post(url, "", nil)
		if err == nil {
			resp.Body.Close()
			t.Fatalf("%s answered", url)
		}
		if got := outcomeOfFailure(err); got != want {
			t.Errorf("%v: %s, want %s", err, got, want)
		}
	}
}
