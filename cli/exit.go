package cli

import (
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/outcome"
)

// Exit codes of all commands.
const (
	// ExitOK: the command succeeded; a call was answered.
	ExitOK = subcommands.ExitSuccess
	// ExitFailed: the command failed for a reason without a code of its own.
	ExitFailed = subcommands.ExitFailure
	// ExitUsage: the command line or the settings are invalid.
	ExitUsage = subcommands.ExitUsageError
	// ExitNotRun: the request certainly did not run.
	ExitNotRun subcommands.ExitStatus = 3
	// ExitUnknown: the request may have run.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitConflict: another operator's change was accepted first, or the request
	// conflicts with an earlier one; it did not run.
	ExitConflict subcommands.ExitStatus = 5
)

// exitCode returns the exit code for the outcome of a request.
func exitCode(k outcome.Kind) subcommands.ExitStatus {
	switch k {
	case outcome.Answered:
		return ExitOK
	case outcome.NotRun:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}
