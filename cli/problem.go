package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/settings"
)

// problem is an entry host's reason for refusing a request.
type problem struct {
	name, title, field string
	outcome            outcome.Kind
}

// String returns the field, the title and the outcome.
func (p problem) String() string {
	if p.field == "" {
		return fmt.Sprintf("%s (%s)", p.title, p.outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", p.field, p.title, p.outcome)
}

// problemOf returns the problem that an entry host responded with; false for any
// other error.
func problemOf(err error) (problem, bool) {
	var j *jobs.Problem
	var c *configs.Problem
	var o *operations.Problem
	switch {
	case errors.As(err, &j):
		return problemFrom(j.Name, j.Title, j.Field, j.Outcome), true
	case errors.As(err, &c):
		return problemFrom(c.Name, c.Title, c.Field, c.Outcome), true
	case errors.As(err, &o):
		return problemFrom(o.Name, o.Title, o.Field, o.Outcome), true
	default:
		return problem{}, false
	}
}

func problemFrom(name, title string, field *string, result string) problem {
	p := problem{name: name, title: title, outcome: outcome.Parse(result)}
	if field != nil {
		p.field = *field
	}
	return p
}

// errorExitCode returns the exit code for an error. A problem without a code of
// its own has that of its outcome.
func errorExitCode(err error) subcommands.ExitStatus {
	var mistakes settings.Problems
	if errors.As(err, &mistakes) {
		return ExitUsage
	}
	p, ok := problemOf(err)
	switch {
	case !ok:
		return ExitFailed
	case p.name == "bad_request":
		return ExitUsage
	case p.name == "conflict":
		return ExitConflict
	default:
		return exitCode(p.outcome)
	}
}
