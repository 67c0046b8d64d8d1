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

// problem is the response body of a refused request. The generated servers pass
// all errors through formatProblem: problems returned by the services, and
// decoding and validation errors, which have no outcome.
type problem struct {
	Name         string `json:"name"`
	Title        string `json:"title"`
	Field        string `json:"field,omitempty"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	status       int
}

// StatusCode implements goahttp.Statuser. It is used only for errors that aren't
// declared in the design.
func (p *problem) StatusCode() int { return p.status }

// formatProblem returns the response body for an error of a service or of goa.
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

// serviceProblem returns the response body for a problem returned by a service.
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

// requestProblem returns the response body for a malformed request that goa
// rejected, or for an internal error.
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
