package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fireflygate/fireflygate/check"
)

// Result is the result of a run.
type Result struct {
	// Interrupted is set if the run was stopped before its end.
	Interrupted bool `json:"interrupted,omitempty"`
	// Violations is the number of broken promises; Breaches describes them.
	Violations int      `json:"violations"`
	Breaches   []string `json:"breaches,omitempty"`
	// Promises are the checked promises; Records is the number of records.
	Promises []check.Promise `json:"promises"`
	Records  int             `json:"records"`
	Answered int64           `json:"answered"`
	NotRun   int64           `json:"not_run"`
	Unknown  int64           `json:"unknown"`
	// Reasons counts calls without an answer by outcome and reason.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	P50MS   float64          `json:"p50_ms"`
	P99MS   float64          `json:"p99_ms"`
	// TasksDone is the number of jobs with a run that finished on a worker.
	TasksDone    int `json:"tasks_done"`
	Evictions    int `json:"evictions"`
	EventsMet    int `json:"events_met"`
	EventsMissed int `json:"events_missed"`
	// JobsSubmitted is the number of acknowledged jobs.
	JobsSubmitted int `json:"jobs_submitted"`
}

// CheckHistory checks the promises against a history. Only the fields about
// promises and records are set in the result.
func CheckHistory(records []check.Record) Result {
	var r Result
	r.setReport(check.Run(records))
	return r
}

// setReport sets the fields about promises and records from a report.
func (r *Result) setReport(report check.Report) {
	r.Violations = len(report.Violations)
	for _, v := range report.Violations {
		r.Breaches = append(r.Breaches, fmt.Sprintf("%s: %s", v.Promise, v.Detail))
	}
	r.Records = report.Records
	r.Promises = check.Promises()
}

// Print writes the result as a table.
func (r Result) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", name, value) }
	if r.Interrupted {
		row("interrupted", "yes, figures up to then")
	}
	row("calls answered", r.Answered)
	row("calls not run", r.NotRun)
	row("calls unknown", r.Unknown)
	row("latency p50", fmt.Sprintf("%.1f ms", r.P50MS))
	row("latency p99", fmt.Sprintf("%.1f ms", r.P99MS))
	row("jobs submitted", r.JobsSubmitted)
	row("tasks done", r.TasksDone)
	row("evictions", r.Evictions)
	row("events met", r.EventsMet)
	row("events missed", r.EventsMissed)
	row("promises checked", len(r.Promises))
	row("violations", r.Violations)
	_ = t.Flush()
	for reason, n := range r.Reasons {
		_, _ = fmt.Fprintf(w, "  %d calls %s\n", n, reason)
	}
	for _, b := range r.Breaches {
		_, _ = fmt.Fprintln(w, "  breach:", b)
	}
}
