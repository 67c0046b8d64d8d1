package dispatch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Summary describes the state of the domain, for logs and metrics.
type Summary struct {
	// OpenJobs counts jobs that haven't ended. The Waiting fields count tasks
	// that are ready and wait for capacity, by kind.
	OpenJobs          int
	WaitingServing    int
	WaitingReserved   int
	WaitingBestEffort int
	// WaitingByCause counts the waiting tasks by cause; RestartsByCause those
	// of them that are long-running and ran before.
	WaitingByCause, RestartsByCause [waitCauseCount]int
	// Workers counts all workers; Usable, Suspected and AwaitingReport count
	// those in each state.
	Workers, Usable, Suspected, AwaitingReport int
	// Free is the free capacity of all usable workers, MaxFree that of the
	// worker with the most free processors.
	Free, MaxFree infra.Resources
	// SlowWorkers counts the workers that are found slow.
	SlowWorkers int
	// OverTarget counts serving tasks whose tail is over its target.
	OverTarget int
	// Shares describes the queues of the pools in which one has a guaranteed share, in
	// order of pool and name.
	Shares []QueueShare
	Stats  Stats
}

// summarize returns a summary of the domain and the cause of each waiting step.
func (s *State) summarize(now time.Time) (Summary, map[*step]WaitCause) {
	byStep := map[*step]WaitCause{}
	sum := Summary{OpenJobs: len(s.open), Workers: len(s.workers), AwaitingReport: len(s.awaitingReport), Stats: s.Stats}
	if s.pace != nil {
		sum.SlowWorkers = s.pace.slow
	}
	for _, w := range s.workers {
		if w.suspected {
			sum.Suspected++
		}
		for _, r := range w.runs {
			if !r.overTargetSince.IsZero() {
				sum.OverTarget++
			}
		}
		if !w.usable(now) {
			continue
		}
		sum.Usable++
		sum.Free = sum.Free.Add(w.free)
		if w.free.MilliCPU > sum.MaxFree.MilliCPU {
			sum.MaxFree = w.free
		}
	}
	list := s.waitingSteps(now)
	c := newCycle(s, now)
	c.computeCapacity(list)
	c.computeShares(list)
	sum.Shares = c.queueShares()
	causes := waits{c, map[alikeSteps]stepWait{}}
	for _, wt := range list {
		wait := causes.of(wt.step)
		byStep[wt.step] = wait.cause
		sum.addWaiting(wait, wt)
		switch st := wt.step; {
		case st.spec.Serving():
			sum.WaitingServing += st.idle
		case st.spec.BestEffort:
			sum.WaitingBestEffort += st.idle
		default:
			sum.WaitingReserved += st.idle
		}
	}
	return sum, byStep
}

// addWaiting adds a step's waiting tasks by cause. At most one task per worker
// that can take one counts as fitting.
func (s *Summary) addWaiting(wait stepWait, wt *waitingStep) {
	fitting := min(wait.fits, wt.step.idle)
	for cause, n := range map[WaitCause]int{Fits: fitting, wait.otherCause: wt.step.idle - fitting} {
		s.WaitingByCause[cause] += n
		if wt.entry.Restart {
			s.RestartsByCause[cause] += n
		}
	}
}

// LogValue implements slog.LogValuer.
func (s Summary) LogValue() slog.Value {
	var waits []slog.Attr
	for cause := range waitCauseCount {
		if n := s.WaitingByCause[cause]; n > 0 {
			waits = append(waits, slog.Int(cause.String(), n))
		}
		if n := s.RestartsByCause[cause]; n > 0 {
			waits = append(waits, slog.Int("restart_"+cause.String(), n))
		}
	}
	return slog.GroupValue(
		slog.Attr{Key: "waits", Value: slog.GroupValue(waits...)},
		slog.Int("open", s.OpenJobs), slog.Int("waiting_serving", s.WaitingServing),
		slog.Int("waiting_reserved", s.WaitingReserved), slog.Int("waiting_fillers", s.WaitingBestEffort),
		slog.Int("workers", s.Workers), slog.Int("usable", s.Usable), slog.Int("silent", s.Suspected),
		slog.Int("awaited", s.AwaitingReport), slog.Int64("free_milli_cpu", s.Free.MilliCPU),
		slog.Int64("free_memory_mb", s.Free.MemoryMB), slog.Int64("most_free_milli_cpu", s.MaxFree.MilliCPU),
		slog.Int("over_target", s.OverTarget), slog.Uint64("starts", s.Stats.Starts), slog.Uint64("done", s.Stats.Done),
		slog.Uint64("failed_runs", s.Stats.FailedRuns), slog.Uint64("lost_runs", s.Stats.LostRuns),
		slog.Uint64("refused_starts", s.Stats.StartsRefused), slog.Uint64("preempted", s.Stats.Preempted), slog.Uint64("fillers_moved", s.Stats.BestEffortMoved), slog.Uint64("limited_starts", s.Stats.LimitedStarts),
		slog.Uint64("reclaimed", s.Stats.Reclaimed),
	)
}
