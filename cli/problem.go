package cli

import (
	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/settings"
)

// exitOfError returns the exit code for an error: that of its outcome where
// the entry host named one.
func exitOfError(err error) subcommands.ExitStatus {
	var settingsProblems settings.Problems
	if errors.As(err, &settingsProblems) {
		return ExitUsage
	}
	name, text := problemOf(err)
	switch name {
	case "":
		return ExitFailed
	case "bad_request":
		return ExitUsage
	default:
		return exitOf(outcome.Parse(text))
	}
}

// problemOf returns the name and outcome of a problem sent by an entry host.
func problemOf(err error) (name, text string) {
	var j *jobs.Problem
	var c *configs.Problem
	var o *operations.Problem
	switch {
	case errors.As(err, &j):
		return j.Name, j.Outcome
	case errors.As(err, &c):
		return c.Name, c.Outcome
	case errors.As(err, &o):
		return o.Name, o.Outcome
	default:
		return "", ""
	}
}
