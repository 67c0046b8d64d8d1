package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/trace"
)

// explainDayCommand reports from log lines how jobs that missed their objective
// spent their time, and which long-running tasks stood still.
type explainDayCommand struct{}

// Name implements subcommands.Command.
func (*explainDayCommand) Name() string { return "explain-day" }

// Synopsis implements subcommands.Command.
func (*explainDayCommand) Synopsis() string {
	return "report from hosts' log lines why jobs missed their objectives, the owner's bottlenecks, and long-running tasks that stood still"
}

// Usage implements subcommands.Command.
func (*explainDayCommand) Usage() string {
	return "explain-day [FILE...]\nReads standard input if no file is given. Exits 1 if no line is about a job that ended or a task that stood still.\n"
}

// SetFlags implements subcommands.Command.
func (*explainDayCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*explainDayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	records, unread, err := readLogs(f.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	rows := trace.SummarizeJobs(records)
	standing, unnamed := trace.StandingTasks(records)
	err = errors.CombineErrors(trace.WriteJobSummaries(os.Stdout, rows), trace.WriteBottlenecks(os.Stdout, trace.Bottlenecks(records)))
	if err = errors.CombineErrors(err, trace.WriteStandingTasks(os.Stdout, standing, unnamed)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Fprintf(os.Stderr, "%d lines; %d were no log records\n", len(records), unread)
	if len(rows) == 0 && len(standing) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
