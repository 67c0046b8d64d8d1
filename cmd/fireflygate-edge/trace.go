package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/trace"
)

// traceCommand prints the timeline of one job from log lines.
type traceCommand struct{}

// Name implements subcommands.Command.
func (*traceCommand) Name() string { return "trace" }

// Synopsis implements subcommands.Command.
func (*traceCommand) Synopsis() string { return "print the timeline of one job from hosts' log lines" }

// Usage implements subcommands.Command.
func (*traceCommand) Usage() string {
	return "trace ID [FILE...]\nReads standard input if no file is given. Exits 1 if no line is about the job.\n"
}

// SetFlags implements subcommands.Command.
func (*traceCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "trace: no job id given")
		return subcommands.ExitUsageError
	}
	records, unread, err := readLogs(f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	story := trace.Timeline(records, f.Arg(0))
	if err := trace.WriteTimeline(os.Stdout, story); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Fprintf(os.Stderr, "%d lines of %d; %d were no log records\n", len(story), len(records), unread)
	if len(story) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readLogs reads the log records of the files, or of standard input if paths is
// empty. It also returns the number of lines that aren't log records.
func readLogs(paths []string) (all []trace.Record, unread int, err error) {
	if len(paths) == 0 {
		return trace.Read(os.Stdin)
	}
	for _, path := range paths {
		records, n, err := readLog(path)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, records...)
		unread += n
	}
	return all, unread, nil
}

func readLog(path string) ([]trace.Record, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer func(c io.Closer) { _ = c.Close() }(file) // opened for reading only
	return trace.Read(file)
}
