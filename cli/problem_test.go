package cli

import (
	"errors"
	"testing"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/settings"
)

func TestExitCodes(t *testing.T) {
	field := "team"
	cases := []struct {
		err  error
		code subcommands.ExitStatus
		text string
	}{
		{errors.New("refused"), ExitFailed, ""},
		{settings.Problems{{File: "a.toml", Line: 1}}, ExitUsage, ""},
		{&jobs.Problem{Name: "bad_request", Title: "no such team", Field: &field, Outcome: "not_run"}, ExitUsage, "team: no such team (not_run)"},
		{&jobs.Problem{Name: "unavailable", Title: "store", Outcome: "not_run"}, ExitNotRun, "store (not_run)"},
		{&jobs.Problem{Name: "unknown_outcome", Title: "lost", Outcome: "unknown"}, ExitUnknown, "lost (unknown)"},
		{&configs.Problem{Name: "conflict", Title: "version 2 won", Outcome: "not_run"}, ExitConflict, "version 2 won (not_run)"},
	}
	for _, c := range cases {
		if code := errorExitCode(c.err); code != c.code {
			t.Errorf("%v: exit %d, want %d", c.err, code, c.code)
		}
		if p, ok := problemOf(c.err); ok && p.String() != c.text {
			t.Errorf("%v: %q, want %q", c.err, p, c.text)
		}
	}
}
