package gate

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	goa "goa.design/goa/v3/pkg"

	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/outcome"
)

// TestProblemKeepsItsOutcome checks that the formatter keeps the outcome that a
// service returned, so that a request that may have run isn't reported as
// not_run.
func TestProblemKeepsItsOutcome(t *testing.T) {
	field, after := "team", int64(250)
	cases := map[string]struct {
		err  error
		want problem
	}{
		"unknown call": {
			&calls.Problem{Name: "unknown_outcome", Title: "cut off", Outcome: "unknown"},
			problem{Name: "unknown_outcome", Title: "cut off", Outcome: "unknown", status: http.StatusInternalServerError},
		},
		"refused call": {
			&calls.Problem{Name: "unavailable", Title: "queue full", Outcome: "not_run", RetryAfterMs: &after},
			problem{Name: "unavailable", Title: "queue full", Outcome: "not_run", RetryAfterMS: after, status: http.StatusInternalServerError},
		},
		"job of no team": {
			&jobs.Problem{Name: "bad_request", Title: "no team", Outcome: "not_run", Field: &field},
			problem{Name: "bad_request", Title: "no team", Outcome: "not_run", Field: "team", status: http.StatusInternalServerError},
		},
		"malformed": {
			goa.MissingFieldError("team", "body"),
			problem{Name: "bad_request", Title: `"team" is missing from body`, Outcome: "not_run", Field: "team", status: http.StatusBadRequest},
		},
		"fault": {
			errors.New("broken"),
			problem{Name: "fault", Title: "broken", Outcome: outcome.Unknown.String(), status: http.StatusInternalServerError},
		},
	}
	for name, c := range cases {
		if got := formatProblem(context.Background(), c.err).(*problem); *got != c.want {
			t.Errorf("%s: %+v, want %+v", name, *got, c.want)
		}
	}
}
