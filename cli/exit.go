package cli

import (
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/outcome"
)

// The exit codes of every command.
const (
	// ExitOK: it was done; a request was answered.
	ExitOK = subcommands.ExitSuccess
	// ExitFailed: it was not done, for a reason that is neither of the below.
	ExitFailed = subcommands.ExitFailure
	// ExitUsage: the command line or the settings are wrong.
	ExitUsage = subcommands.ExitUsageError
	// ExitNotRun: the request truly did not run.
	ExitNotRun subcommands.ExitStatus = 3
	// ExitUnknown: the request may have run.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitConflict: another operator's change was accepted first, or the request
	// clashes with an earlier one; it did not run.
	ExitConflict subcommands.ExitStatus = 5
)

// exitOf returns the exit code for the outcome of a request.
func exitOf(k outcome.Kind) subcommands.ExitStatus {
	switch k {
	case outcome.Answered:
		return ExitOK
	case outcome.NotRun:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}
