package dispatch

import (
	"slices"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// FindingKind is how a worker's report disagrees with what the owner holds.
type FindingKind uint8

// The kinds of findings.
const (
	// EndOfUnknownTask: the report lists the end of a run of a task that the owner doesn't
	// know. Nothing of it is recorded.
	EndOfUnknownTask FindingKind = iota
	// EndSkipped: the report lists the end of a run that the owner holds as alive, under a
	// number that counts as recorded. The end is recorded all the same.
	EndSkipped
	// RunOmitted: a report that was requested after a run had started lists neither the
	// run nor its end.
	RunOmitted
	findingKindCount
)

var findingKindNames = [findingKindCount]string{"end of unknown task", "end skipped", "run omitted"}

// String returns the kind's name in logs and metrics.
func (k FindingKind) String() string {
	if k < findingKindCount {
		return findingKindNames[k]
	}
	return "unknown"
}

// Finding is a disagreement between a worker's report and what the owner holds.
type Finding struct {
	Kind        FindingKind
	Worker      string
	Incarnation runner.Incarnation
	Task        workload.TaskID
	Run         uint64
	// Number is that of the end, 0 if the finding isn't about one.
	Number uint64
}

// maxFindings bounds the findings kept for TakeFindings.
const maxFindings = 256

// TakeFindings returns and clears the findings recorded since the last call.
func (s *State) TakeFindings() []Finding {
	found := s.findings
	s.findings = nil
	return found
}

// find records a finding about a worker's run.
func (s *State) find(kind FindingKind, w *worker, task workload.TaskID, run, number uint64) {
	if len(s.findings) < maxFindings {
		s.findings = append(s.findings, Finding{
			Kind: kind, Worker: w.info.ID, Incarnation: w.incarnation, Task: task, Run: run, Number: number,
		})
	}
}

// findOmitted records the runs of the current life that a complete report lists neither as
// active nor as ended although their start was confirmed before it was requested, each run once.
func (s *State) findOmitted(w *worker, sent *runner.Renewal, rep *runner.Report) {
	for _, r := range w.runsByNumber {
		if r.omitted || r.life != w.number || !r.confirmed || r.confirmedAt.IsZero() || !r.confirmedAt.Before(sent.To.At) {
			continue
		}
		id := r.task.id()
		if !slices.ContainsFunc(rep.Active, func(a runner.ActiveRun) bool { return a.Task == id && a.Run == r.number }) {
			r.omitted = true
			s.find(RunOmitted, w, id, r.number, 0)
		}
	}
}
