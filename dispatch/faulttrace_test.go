package dispatch_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// maxTraceLines bounds the lines that a failed check prints.
const maxTraceLines = 80

// traceLine is one event; one of no task in particular has a zero task.
type traceLine struct {
	at   time.Duration
	task workload.TaskID
	text string
}

// tracef records an event.
func (s *faultSim) tracef(task workload.TaskID, format string, args ...any) {
	s.trace = append(s.trace, traceLine{s.now.Sub(s.startedAt), task, fmt.Sprintf(format, args...)})
}

// traceOf returns the last events of a task and those of no task in particular.
func (s *faultSim) traceOf(task workload.TaskID) string {
	return s.traceIf(func(of workload.TaskID) bool { return of == task })
}

// traceOfJob returns the last events of a job's tasks and those of no task in particular,
// where workers start again under their IDs.
func (s *faultSim) traceOfJob(job string) string {
	if s.returns == nil {
		return ""
	}
	return "\n" + s.traceIf(func(of workload.TaskID) bool { return of.Job == job })
}

// traceIf returns the last events of some tasks and those of no task in particular.
func (s *faultSim) traceIf(include func(workload.TaskID) bool) string {
	var lines []string
	for _, l := range s.trace {
		if l.task == (workload.TaskID{}) || include(l.task) {
			lines = append(lines, fmt.Sprintf("%6.1f s  %s", l.at.Seconds(), l.text))
		}
	}
	return strings.Join(lines[max(0, len(lines)-maxTraceLines):], "\n")
}

// traceLongLease records a renewal that was made by the clock of an earlier life.
func (s *faultSim) traceLongLease(w *faultWorker, o runner.Renewal) {
	if clock := w.clock(s.now); o.Token >= w.token && o.LeaseUntil > clock+testLease.Milliseconds() {
		s.tracef(workload.TaskID{}, "%s gets a lease until %d under token %d while its clock shows %d", w.describe(), o.LeaseUntil, o.Token, clock)
	}
}

// returnTraceOf is traceOf on a line of its own where workers start again under their IDs,
// and empty elsewhere.
func (s *faultSim) returnTraceOf(task workload.TaskID) string {
	if s.returns == nil {
		return ""
	}
	return "\n" + s.traceOf(task)
}
