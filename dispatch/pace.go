package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/pace"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	// judgeInterval is the time between two decisions which workers are slow. Evidence
	// comes with reports, every half second to two seconds from each worker.
	judgeInterval = 100 * time.Millisecond
	// minMeasured is the number of a step's tasks that must have been measured for their
	// median to say what is normal, and maxMeasured the largest number that is used.
	minMeasured, maxMeasured = 4, 64
	// resumeGrace is how long after its start a run that resumes isn't measured, as it
	// restores its checkpoint first; that takes up to 600 ms.
	resumeGrace = time.Second
)

// paceState tracks the speed of workers.
type paceState struct {
	// judges holds that of each pool.
	judges    map[string]*pace.Judge
	baselines pace.Baselines
	judgedAt  time.Time
	// slow counts the workers that count as slow.
	slow int
	// workers and members are buffers for the workers of one pool.
	workers []*worker
	members []*pace.Worker
	// pools is a buffer for the names of the pools.
	pools []string
	moves paceMoves
	// changes holds what TakePaceChanges returns next.
	changes []PaceChange
}

// PaceChange is a worker that became slow or healthy again, or that reported figures out
// of range.
type PaceChange struct {
	Worker string
	Found  PaceFinding
	// Factor is how many times as long tasks take on the worker as on its peers.
	Factor float64
	// Runs counts its runs.
	Runs int
}

// PaceFinding is what was found of a worker.
type PaceFinding uint8

// The findings.
const (
	// PaceSlow: it is slow.
	PaceSlow PaceFinding = iota
	// PaceHealthy: it is no longer slow.
	PaceHealthy
	// PaceInvalidFigures: it reported a progress outside 0 to 100 percent or a negative
	// figure, which is ignored. Only the first of an incarnation is recorded.
	PaceInvalidFigures
)

// String returns the finding's name in logs.
func (f PaceFinding) String() string {
	switch f {
	case PaceSlow:
		return "slow"
	case PaceHealthy:
		return "healthy"
	default:
		return "figures out of range"
	}
}

// newPaceState returns nil if the speed of workers isn't tracked.
func newPaceState(cfg *Config) *paceState {
	if !cfg.WorkerPace || cfg.Disabled.Has(mechanism.WorkerPace) {
		return nil
	}
	return &paceState{judges: map[string]*pace.Judge{}}
}

// TakePaceChanges returns and clears the changes since the last call.
func (s *State) TakePaceChanges() []PaceChange {
	if s.pace == nil {
		return nil
	}
	changes := s.pace.changes
	s.pace.changes = nil
	return changes
}

// paceReport evaluates the figures of one report for the speed of its worker. Without
// state it accepts all figures and learns nothing.
type paceReport struct {
	s   *State
	now time.Time
	w   *worker
	// oversubscribed is set if the worker's processors are: its runs then give no
	// evidence.
	oversubscribed bool
}

func (s *State) paceReport(now time.Time, w *worker) paceReport {
	p := paceReport{s: s, now: now, w: w}
	if s.pace != nil {
		p.oversubscribed = w.unusedCPU(now) < 0
	}
	return p
}

// valid reports whether the figures of a run are in range.
func (p *paceReport) valid(a *runner.ActiveRun) bool {
	if p.s.pace == nil || (a.Percent >= 0 && a.Percent <= 100 && a.Usage >= 0) {
		return true
	}
	if !p.w.reportsInvalid {
		p.w.reportsInvalid = true
		p.s.recordPaceChange(p.w, PaceInvalidFigures, p.w.pace.Factor(p.now))
	}
	return false
}

// observe measures the speed of a finite run from its reported progress.
func (p *paceReport) observe(r *run) {
	st := r.task.step
	if p.s.pace == nil || st.spec.LongRunning {
		return
	}
	resuming := r.task.checkpoint != "" && p.now.Sub(r.startedAt) < resumeGrace
	if p.oversubscribed || r.phase != running || r.limited() || resuming || !r.comparable() {
		r.progress.Reset()
		return
	}
	normal := p.s.normalTime(p.now, st)
	started := r.startedAt
	if r.sending == nil || r.task.lastEndedRun != 0 {
		started = time.Time{} // it began earlier, or may have resumed
	}
	r.progress.Continue(r.task.leastPerPercent)
	m, ok := r.progress.Observe(p.now, r.percent, normal/100, started)
	if least := r.progress.Least(); least > 0 && (r.task.leastPerPercent == 0 || least < r.task.leastPerPercent) {
		r.task.leastPerPercent = least
	}
	if !ok {
		return
	}
	r.task.perPercent = float32(m.PerPercent.Seconds() * 1000)
	slowdown, ok := p.s.slowdown(p.now, st, 100*m.PerPercent)
	if !ok {
		return
	}
	p.w.pace.AddRun(p.now, pace.Run{ID: r.paceID(), Slowdown: slowdown, Since: m.Since, Rise: m.Rise})
}

// comparable reports whether the run's speed depends on its worker alone: tasks of gangs
// wait for each other, and those with remote data take 2 to 3 times as long.
func (r *run) comparable() bool {
	spec := r.task.step.spec
	return !spec.Gang && r.worker.info.HasLabel(spec.DataRack)
}

// limited reports whether a CPU limit is in force or may be.
func (r *run) limited() bool { return r.cpuLimit < fullCPU || r.cpuLimitUnconfirmed }

// paceID distinguishes the runs of a worker for package pace.
func (r *run) paceID() uint16 { return uint16(r.number) ^ uint16(r.task.index)<<8 } //nolint:gosec // a hash

// observeEnd derives the speed of a run that is done and that no report measured, from
// its duration. It ended between the worker's last two reports, so that it is slow only
// if it was at the earlier one.
func (s *State) observeEnd(now time.Time, r *run) {
	t, w := r.task, r.worker
	st := t.step
	if s.pace == nil || st.spec.LongRunning || r.sending == nil || t.lastEndedRun != 0 || t.checkpoint != "" || !r.comparable() {
		return
	}
	if r.limited() || !r.cpuLimitSetAt.IsZero() || r.progress.Measured() || w.unusedCPU(now) < 0 {
		return
	}
	longest := now.Sub(r.startedAt)
	shortest := max(w.paceReportAt.Sub(r.startedAt), 0)
	slowdown, ok := s.slowdown(now, st, longest)
	t.perPercent = float32((longest + shortest).Seconds() / 2 * 10)
	if !ok {
		return
	}
	if slowdown >= pace.RecoveredFactor {
		if slowdown *= float64(shortest) / float64(max(longest, 1)); slowdown < pace.SlowFactor {
			return
		}
	}
	w.pace.AddRun(now, pace.Run{ID: r.paceID(), Slowdown: slowdown, Since: r.startedAt})
}

// slowdown returns how many times as long a task takes as others of its step or, if few
// were measured, of its image. It returns false if that isn't known.
func (s *State) slowdown(now time.Time, st *step, taken time.Duration) (float64, bool) {
	byImage, known := s.pace.baselines.Slowdown(st.spec.Image, taken, st.expected)
	if m := st.medianTime(now); m > 0 {
		return float64(taken) / float64(m), true
	}
	return byImage, known
}

// normalTime returns how long a task of the step takes at normal speed, 0 if that isn't
// known.
func (s *State) normalTime(now time.Time, st *step) time.Duration {
	if m := st.medianTime(now); m > 0 {
		return m
	}
	return st.expected
}

// medianTime returns the median time of the step's tasks at their measured speeds, 0 if
// too few were measured. It is at most judgeInterval old.
func (s *step) medianTime(now time.Time) time.Duration {
	if s.perPercentAt.IsZero() || now.Sub(s.perPercentAt) >= judgeInterval {
		s.perPercentAt = now
		s.perPercent = s.medianPerPercent()
	}
	return time.Duration(float64(s.perPercent) * 100 * float64(time.Millisecond))
}

func (s *step) medianPerPercent() float32 {
	var all [maxMeasured]float32
	n := 0
	for i := range s.tasks {
		if p := s.tasks[i].perPercent; p > 0 && n < maxMeasured {
			all[n] = p
			n++
		}
	}
	if n < minMeasured {
		return 0
	}
	slices.Sort(all[:n])
	return all[(n-1)/2]
}

// maxSuspectReports is the number of reports in a row with long tails after which the
// tails count as the load of the worker's steps, unless the worker is found slow before.
const maxSuspectReports = 6

// learnTails learns from the tails of a report. Those of a worker that is slow, or seems
// to be, say nothing of the load of its steps: learned as such, they would explain the
// tails of other slow workers.
func (s *State) learnTails(now time.Time, w *worker, c *colocate.Worker) {
	if s.pace == nil {
		s.model.Learn(now, c)
		return
	}
	slowdown := s.model.Slowdown(now, c)
	if slowdown.Ratio >= pace.SlowFactor && !w.tailsLongerThanPeers() {
		slowdown.Ratio = 0 // the load of its steps
	}
	if slowdown.Ratio > 0 {
		w.pace.AddTail(now, slowdown.Ratio, slowdown.Unexplained)
	}
	if slowdown.Ratio > 0 && slowdown.Ratio < pace.SlowFactor {
		w.suspectReports = 0
	}
	switch {
	case w.pace.Slow():
	case slowdown.Ratio >= pace.SlowFactor && w.suspectReports < maxSuspectReports:
		w.suspectReports++
		s.model.LearnEffects(now, c)
	default:
		s.model.Learn(now, c)
	}
}

// tailsLongerThanPeers reports whether the worker's tails are longer, by the factor that
// counts as slow, than those of the same steps on other workers. Steps with few tasks
// elsewhere say nothing.
func (w *worker) tailsLongerThanPeers() bool {
	longer := false
	for _, r := range w.runsByNumber {
		if !r.serves() {
			continue
		}
		peers := w.peerTail(r.task.step)
		if peers == 0 {
			continue
		}
		if float64(r.usage) < pace.SlowFactor*float64(peers) {
			return false
		}
		longer = true
	}
	return longer
}

// minPeerTails is the least number of tails elsewhere of which a median is taken, and
// maxPeerTails the largest that is used.
const minPeerTails, maxPeerTails = 2, 32

// peerTail returns the median tail, in milliseconds, of the step's tasks on other workers,
// 0 if there are too few.
func (w *worker) peerTail(st *step) int64 {
	var all [maxPeerTails]int64
	n := 0
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			if r.worker != w && r.serves() && r.usage > 0 && n < maxPeerTails {
				all[n] = r.usage
				n++
			}
		}
	}
	if n < minPeerTails {
		return 0
	}
	slices.Sort(all[:n])
	return all[n/2]
}

// serves reports whether it is a serving run that serves.
func (r *run) serves() bool {
	return r.task.step.class != "" && r.phase == running && r.percent >= 100
}

// judgePace decides which workers are slow, once per judgeInterval.
func (s *State) judgePace(now time.Time) {
	p := s.pace
	if p == nil || now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.judgedAt = now
	p.slow = 0
	p.pools = p.pools[:0]
	for _, w := range s.byID() {
		if !slices.Contains(p.pools, w.info.Pool) {
			p.pools = append(p.pools, w.info.Pool)
		}
	}
	for _, name := range p.pools {
		s.judgePool(now, name)
	}
	maps.DeleteFunc(p.judges, func(name string, _ *pace.Judge) bool { return !slices.Contains(p.pools, name) })
	clear(p.workers[:cap(p.workers)])
	clear(p.members[:cap(p.members)]) // removed workers aren't kept
}

// judgePool decides which workers of a pool are slow. Those that don't answer are left as
// they are.
func (s *State) judgePool(now time.Time, name string) {
	p := s.pace
	p.workers, p.members = p.workers[:0], p.members[:0]
	for _, w := range s.byID() {
		if w.info.Pool == name && w.reported && w.listed && w.unresponsiveSince.IsZero() {
			p.workers = append(p.workers, w)
			p.members = append(p.members, &w.pace)
		}
	}
	judge := p.judges[name]
	if judge == nil {
		judge = &pace.Judge{}
		p.judges[name] = judge
	}
	for _, i := range judge.Decide(now, p.members) {
		w := p.workers[i]
		if w.pace.Slow() {
			s.recordPaceChange(w, PaceSlow, w.pace.Factor(now))
		} else {
			s.recordPaceChange(w, PaceHealthy, 1)
		}
	}
	for _, w := range p.members {
		if w.Slow() {
			p.slow++
		}
	}
}

// slowdown returns the factor of a slow worker, 0 for others.
func (c *cycle) slowdown(w *worker) float64 {
	if p := c.s.pace; p == nil || p.slow == 0 || !w.pace.Slow() {
		return 0
	}
	return w.pace.Factor(c.now)
}

// maxPaceChanges bounds the changes kept for TakePaceChanges.
const maxPaceChanges = 4096

func (s *State) recordPaceChange(w *worker, found PaceFinding, factor float64) {
	if len(s.pace.changes) < maxPaceChanges {
		s.pace.changes = append(s.pace.changes, PaceChange{
			Worker: w.info.ID, Found: found, Factor: math.Round(10*factor) / 10, Runs: len(w.runs),
		})
	}
}

// remaining returns how long a finite run is expected to take from now at normal speed,
// and with the factor of its worker; 0 if that isn't known.
func (s *State) remaining(now time.Time, r *run) (normal, here time.Duration) {
	left := 100 - min(max(r.percent, 0), 100)
	normal = s.normalTime(now, r.task.step) * time.Duration(left) / 100
	return normal, time.Duration(float64(normal) * r.worker.pace.Factor(now))
}
