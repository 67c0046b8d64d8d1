package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The numbers of the events on long-running tasks that stand still, see package event.
const (
	taskStands    = 919
	taskRunsAgain = 970
)

// StandingTask is a time in which a long-running task had no run that worked, as an owner has
// logged it.
type StandingTask struct {
	Task, Host string
	// Since is when it began. Stood is how long it lasted, 0 if no line tells its end.
	Since time.Time
	Stood time.Duration
	// Check stopped the task when the owner logged it, as event 919 names it.
	Check, Worker string
	// Left is how long the check still held then, 0 if unknown.
	Left time.Duration
}

// StandingTasks returns the times in which long-running tasks stood, in the order of their
// start, and how many further ones owners counted without naming the task.
func StandingTasks(records []Record) (tasks []StandingTask, unnamed int) {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Time.Compare(b.Time) })
	more := map[string]bool{} // hosts and times whose unnamed tasks are counted
	for i := range sorted {
		r := &sorted[i]
		f := fields(r.Fields)
		name, _ := f["task"].(string)
		switch r.Event {
		case taskStands:
			check, _ := f["check"].(string)
			worker, _ := f["worker"].(string)
			tasks = append(tasks, StandingTask{
				Task: name, Host: hostOf(r), Since: r.Time.Add(-f.millis("for_ms")), Check: check, Worker: worker, Left: f.millis("left_ms"),
			})
			at := hostOf(r) + r.Time.Truncate(time.Second).String()
			if !more[at] {
				more[at] = true
				unnamed += int(f.number("more"))
			}
		case taskRunsAgain:
			last := lastOf(tasks, name, hostOf(r))
			if last != nil && last.Stood == 0 {
				last.Stood = f.millis("stood_ms")
			}
		}
	}
	slices.SortStableFunc(tasks, func(a, b StandingTask) int { return a.Since.Compare(b.Since) })
	return tasks, unnamed
}

// lastOf returns the last of the entries of a task by a host, nil if there is none.
func lastOf(tasks []StandingTask, name, host string) *StandingTask {
	for i := range slices.Backward(tasks) {
		if tasks[i].Task == name && tasks[i].Host == host {
			return &tasks[i]
		}
	}
	return nil
}

// WriteStandingTasks prints the tasks that stood still, one a line.
func WriteStandingTasks(w io.Writer, tasks []StandingTask, unnamed int) error {
	var b strings.Builder
	if len(tasks) > 0 {
		fmt.Fprintf(&b, "long-running tasks that stood still: %d, and %d unnamed\n", len(tasks), unnamed)
	}
	for _, t := range tasks {
		stood := "until the end of the log or of its owner"
		if t.Stood > 0 {
			stood = fmt.Sprintf("for %.1f s", t.Stood.Seconds())
		}
		fmt.Fprintf(&b, "    %s %s %s: %s, by %s", t.Since.Format(clockLayout), t.Host, t.Task, stood, t.Check)
		if t.Worker != "" {
			fmt.Fprintf(&b, " of %s", t.Worker)
		}
		if t.Left > 0 {
			fmt.Fprintf(&b, ", %.1f s left when logged", t.Left.Seconds())
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write standing tasks")
}
