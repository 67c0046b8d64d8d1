package dispatch

import (
	"log/slog"
	"time"
)

// EndEvidence is why an owner takes a run of a task as over.
type EndEvidence uint8

// The kinds of evidence.
const (
	// NoPriorRun: no earlier run of the task is known.
	NoPriorRun EndEvidence = iota
	// EndReported: its worker listed the end.
	EndReported
	// StartRefused: its worker refused the start, or there was no room to queue it.
	StartRefused
	// StartFenced: its worker answered under a higher token without listing the run.
	StartFenced
	// ReplacedThere: its worker reports another run of the task.
	ReplacedThere
	// NotSent: the start was withdrawn before it was sent.
	NotSent
	// WorkerRestarted: another incarnation answered at the worker's address.
	WorkerRestarted
	// WorkerLeaseExpired: the worker was unresponsive until its lease expired.
	WorkerLeaseExpired
	// WorkersReported: the run of an earlier owner, if there was one, is on none of the
	// workers where it may have been.
	WorkersReported
	endEvidenceCount
)

var endEvidenceNames = [endEvidenceCount]string{
	"none", "end reported", "start refused", "start fenced", "replaced", "not sent",
	"restarted", "lease expired", "workers reported",
}

// String returns the evidence as it appears in logs.
func (e EndEvidence) String() string {
	if e < endEvidenceCount {
		return endEvidenceNames[e]
	}
	return "unknown"
}

// workerLost reports whether the evidence is the loss of the run's worker.
func (e EndEvidence) workerLost() bool {
	return e == WorkerRestarted || e == WorkerLeaseExpired
}

// PriorRun tells, at the start of a task, why the run before counts as over.
type PriorRun struct {
	Evidence EndEvidence
	// Worker is where the run was, and Run its number; empty and 0 if unknown.
	Worker string
	Run    uint64
	// Age is the time since the evidence was found.
	Age time.Duration
}

// LogValue implements slog.LogValuer.
func (p PriorRun) LogValue() slog.Value {
	if p.Evidence == NoPriorRun {
		return slog.StringValue(p.Evidence.String())
	}
	return slog.GroupValue(
		slog.String("evidence", p.Evidence.String()), slog.String("worker", p.Worker),
		slog.Uint64("run", p.Run), slog.Int64("age_ms", p.Age.Milliseconds()),
	)
}

// ranBefore is the last run of a task that counts as over.
type ranBefore struct {
	evidence EndEvidence
	worker   string
	run      uint64
	at       time.Time
}

// recordOver records why a run of the task counts as over.
func (t *task) recordOver(now time.Time, evidence EndEvidence, worker string, run uint64) {
	t.ranBefore = ranBefore{evidence: evidence, worker: worker, run: run, at: now}
	t.lost = t.lost || evidence.workerLost()
}

// priorRun describes the last run of the task that counts as over.
func (t *task) priorRun(now time.Time) PriorRun {
	p := PriorRun{Evidence: t.ranBefore.evidence, Worker: t.ranBefore.worker, Run: t.ranBefore.run}
	if p.Evidence != NoPriorRun {
		p.Age = now.Sub(t.ranBefore.at)
	}
	return p
}
