package gate

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/outcome"
)

// problem is the body of a refused request, of every service. The generated
// servers pass all errors through formatProblem: their own problems, and
// those of decoding and validation, which know no outcome.
type problem struct {
	Name         string `json:"name"`
	Title        string `json:"title"`
	Field        string `json:"field,omitempty"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	status       int
}

// StatusCode implements goahttp.Statuser. It is used only for errors that the
// design does not name; those it names have their status there.
func (p *problem) StatusCode() int { return p.status }

// formatProblem returns the body for an error of a service or of goa itself.
func formatProblem(_ context.Context, err error) goahttp.Statuser {
	var c *calls.Problem
	var g *configs.Problem
	var j *jobs.Problem
	var o *operations.Problem
	switch {
	case errors.As(err, &c):
		return serviceProblem(c.Name, c.Title, c.Field, c.Outcome, c.RetryAfterMs)
	case errors.As(err, &g):
		return serviceProblem(g.Name, g.Title, g.Field, g.Outcome, g.RetryAfterMs)
	case errors.As(err, &j):
		return serviceProblem(j.Name, j.Title, j.Field, j.Outcome, j.RetryAfterMs)
	case errors.As(err, &o):
		return serviceProblem(o.Name, o.Title, o.Field, o.Outcome, o.RetryAfterMs)
	default:
		return requestProblem(err)
	}
}

// serviceProblem returns the body of a problem that a service named.
func serviceProblem(name, title string, field *string, result string, retryAfterMS *int64) *problem {
	p := &problem{Name: name, Title: title, Outcome: result, status: http.StatusInternalServerError}
	if field != nil {
		p.Field = *field
	}
	if retryAfterMS != nil {
		p.RetryAfterMS = *retryAfterMS
	}
	return p
}

// requestProblem returns the body for a request that goa did not pass on,
// because it is malformed, or for a fault of ours.
func requestProblem(err error) *problem {
	var s *goa.ServiceError
	if !errors.As(err, &s) || s.Fault {
		return &problem{Name: "fault", Title: err.Error(), Outcome: outcome.Unknown.String(), status: http.StatusInternalServerError}
	}
	p := &problem{Name: "bad_request", Title: s.Message, Outcome: outcome.NotRun.String(), status: http.StatusBadRequest}
	if s.Field != nil {
		p.Field = *s.Field
	}
	return p
}
