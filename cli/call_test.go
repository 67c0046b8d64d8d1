package cli

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestOutcomeOfError checks that a refused connection is reported as not run, and
// a connection closed without a response as unknown.
func TestOutcomeOfError(t *testing.T) {
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
		if got := outcomeOfError(err); got != want {
			t.Errorf("%v: %s, want %s", err, got, want)
		}
	}
}
