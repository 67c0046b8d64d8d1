package gate

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/fireflygate/fireflygate/outcome"
)

// problem is the body of a request that never reached a service, because it
// is malformed.
type problem struct {
	Name    string `json:"name"`
	Title   string `json:"title"`
	Field   string `json:"field,omitempty"`
	Outcome string `json:"outcome"`
	status  int
}

// StatusCode implements goahttp.Statuser.
func (p *problem) StatusCode() int { return p.status }

// formatProblem turns an error of goa's decoding and validation into a
// problem that names the field.
func formatProblem(_ context.Context, err error) goahttp.Statuser {
	p := &problem{Name: "bad_request", Title: err.Error(), Outcome: outcome.NotRun.String(), status: http.StatusBadRequest}
	var g *goa.ServiceError
	if !errors.As(err, &g) {
		return p
	}
	if g.Field != nil {
		p.Field = *g.Field
	}
	if g.Fault {
		p.Name, p.status, p.Outcome = "fault", http.StatusInternalServerError, outcome.Unknown.String()
	}
	return p
}
