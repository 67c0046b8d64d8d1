package pace

import (
	"math"
	"time"
)

const (
	// SlowFactor is the slowdown from which a worker counts as slow.
	SlowFactor = 2.0
	// RecoveredFactor is the slowdown below which a worker no longer counts as slow.
	RecoveredFactor = 1.5
	// maxFactor bounds factors, and 1/maxFactor too.
	maxFactor = 16.0
	// slowLifetime and normalLifetime are how long an observation counts. Workers
	// report at least every two seconds. Normal observations are forgotten sooner, as
	// those from before a worker became slow would delay its detection.
	slowLifetime, normalLifetime = 3 * time.Second, 2 * time.Second
	// decayTime is how long a factor takes to decay to 1 once no observation counts
	// any more. A worker that all tasks have left is then used again, which shows
	// whether it is still slow.
	decayTime = 4 * time.Second
	// maxRuns is the number of runs whose last observation is kept.
	maxRuns = 7
	// tailReports is the number of slow tails in a row that are enough by themselves.
	tailReports = 3
)

// The weights of observations are logarithms of likelihood ratios: how much more
// likely the observation is on a slow worker than on another.
const (
	// priorWeight assumes that one worker in 50 is slow.
	priorWeight = -3.9
	// runWeight is that of a slow run. One run in 33 takes seven times as long, so that
	// nearly one in five of the runs present at a time is such a run. That gives 1.66, with
	// which six such runs are enough; one worker of a large pool has six by chance every few
	// minutes. With 1.4 seven are needed.
	runWeight = 1.4
	// changeWeight is that of a run that became slow while it ran. Runs that take long by
	// themselves are slow from their start; one run in a hundred is assumed to pause.
	changeWeight = 4.5
	// tailWeight is that of a slow tail; tailReports of them outweigh the prior as
	// required.
	tailWeight = 2.9
	// normalWeight is that of a run or tail of normal speed.
	normalWeight = -2.8
	// requiredWeight is the sum of weights at which a worker counts as slow: a
	// probability of 99 in 100.
	requiredWeight = 4.6
)

// Worker is what is known of the speed of one incarnation of a worker. The zero value
// has no evidence.
type Worker struct {
	runs [maxRuns]observation
	// tailAt is when the last tail was observed. evidenceAt is when the last observation of
	// any kind was made, since when its measurement began. onsetAt is when the worker became
	// doubtful, 0 if it isn't. All are in Unix nanoseconds.
	tailAt, evidenceAt, since, onsetAt int64
	// tail is the logarithm of the slowdown of the last tail, log that of the worker's
	// factor at evidenceAt.
	tail, log float32
	// slowTails counts the last slow tails in a row.
	slowTails uint8
	slow      bool
	// doubtful is set if there is more evidence against it than a single slow run. It may be
	// too little for the worker to count as slow.
	doubtful bool
}

// observation is the last observation of one run.
type observation struct {
	// at is in Unix nanoseconds, 0 if there is none.
	at int64
	// log is the logarithm of the slowdown.
	log float32
	// rise is the logarithm of the run's rise, in thousandths.
	rise int16
	run  uint16
}

// Run is an observation of a finite run.
type Run struct {
	// ID distinguishes the runs of a worker.
	ID uint16
	// Slowdown is the time for a part of the run, divided by the time for it on other
	// workers.
	Slowdown float64
	// Since is when that part began.
	Since time.Time
	// Rise is how many times as slow the run has become, see Measurement.
	Rise float64
}

var slowLog, recoveredLog, maxLog = float32(math.Log(SlowFactor)), float32(math.Log(RecoveredFactor)), float32(math.Log(maxFactor))

// logOf returns the logarithm of a slowdown within bounds. Slowdowns that aren't
// positive numbers count as 1.
func logOf(slowdown float64) float32 {
	if !(slowdown > 0) {
		return 0
	}
	return clamp(float32(math.Log(slowdown)))
}

func clamp(log float32) float32 { return min(max(log, -maxLog), maxLog) }

// AddRun adds an observation of a run, which replaces the run's previous one.
func (w *Worker) AddRun(now time.Time, r Run) {
	added := observation{at: now.UnixNano(), log: logOf(r.Slowdown), rise: int16(1000 * logOf(r.Rise)), run: r.ID}
	w.evidenceAt, w.since = added.at, r.Since.UnixNano()
	if at := w.slotFor(&added); at != nil {
		*at = added
	}
	switch {
	case added.log < recoveredLog:
		w.forget(func(o *observation) bool { return o.log >= recoveredLog })
	case added.risen(0):
		w.forget(func(o *observation) bool { return o.log < recoveredLog })
	}
}

// slotFor returns the slot for an observation, nil to drop it. In order of preference the
// slot is that of the run's previous observation, one whose observation no longer counts,
// that of the oldest weak observation and, unless the added one is weak, the oldest. If the
// latest observations were kept instead, a worker with many runs would count as slow whenever
// its report lists runs that take long by themselves last.
func (w *Worker) slotFor(added *observation) *observation {
	var free, weak, oldest *observation
	for i := range w.runs {
		o := &w.runs[i]
		switch {
		case o.at != 0 && o.run == added.run:
			return o
		case !counts(added.at, o.at, o.log):
			free = o
		case o.weak() && (weak == nil || o.at < weak.at):
			weak = o
		}
		if oldest == nil || o.at < oldest.at {
			oldest = o
		}
	}
	switch {
	case free != nil:
		return free
	case weak != nil:
		return weak
	case added.weak():
		return nil
	default:
		return oldest
	}
}

// weak reports whether it is of a run that isn't normal and may take long by itself.
func (o *observation) weak() bool { return o.log >= recoveredLog && !o.risen(0) }

// forget drops the observations that contradict the last one and were made before its
// measurement began, as they are outdated.
func (w *Worker) forget(contradicts func(*observation) bool) {
	for i := range w.runs {
		if o := &w.runs[i]; o.at < w.since && contradicts(o) {
			o.at = 0
		}
	}
}

// tailWindow is the period that a reported tail covers.
const tailWindow = 500 * time.Millisecond

// risen reports whether the run has become slow while it ran, by more than the pool. pool
// is the logarithm of the pool's median slowdown.
func (o *observation) risen(pool float32) bool {
	return o.rise != 0 && o.log >= slowLog && float32(o.rise)/1000-pool >= slowLog // 0 is unknown
}

// AddTail adds the slowdown of the worker's tails in a report: the least one over the
// classes that it serves. unexplained is set if neighbours and load don't explain it.
func (w *Worker) AddTail(now time.Time, slowdown float64, unexplained bool) {
	w.tail, w.tailAt, w.evidenceAt, w.since = logOf(slowdown), now.UnixNano(), now.UnixNano(), now.Add(-tailWindow).UnixNano()
	if w.tail < recoveredLog {
		w.forget(func(o *observation) bool { return o.log >= recoveredLog })
	}
	if !unexplained || w.tail < slowLog {
		w.slowTails = 0
		return
	}
	w.slowTails = min(w.slowTails+1, tailReports)
}

// Known reports whether there is evidence on the worker's speed now.
func (w *Worker) Known(now time.Time) bool {
	return w.evidenceAt != 0 && time.Duration(now.UnixNano()-w.evidenceAt) <= slowLifetime
}

// Slow reports whether the worker counts as slow, as last judged.
func (w *Worker) Slow() bool { return w.slow }

// NeedsReports reports whether the worker should report frequently, since it is slow or
// may be.
func (w *Worker) NeedsReports() bool { return w.slow || w.doubtful }

// Factor returns how many times as long tasks take on the worker as on its peers: 1
// unless it counts as slow.
func (w *Worker) Factor(now time.Time) float64 {
	if !w.slow {
		return 1
	}
	return math.Exp(float64(w.decayed(now.UnixNano())))
}

// decayed returns the logarithm of the factor.
func (w *Worker) decayed(now int64) float32 {
	age := time.Duration(now-w.evidenceAt) - slowLifetime
	if age <= 0 {
		return w.log
	}
	return w.log * max(0, 1-float32(age)/float32(decayTime))
}

// counts reports whether an observation made at a time still counts.
func counts(now, at int64, log float32) bool {
	lifetime := slowLifetime
	if log < recoveredLog {
		lifetime = normalLifetime
	}
	return at != 0 && time.Duration(now-at) <= lifetime
}

// summary describes the observations of a worker that count, as logarithms of slowdowns.
type summary struct {
	// known is set if there are any.
	known bool
	// median is the lower median, highest the highest of them.
	median, highest float32
}

func (w *Worker) summarize(now int64) summary {
	var all [maxRuns + 1]float32 // in ascending order
	n := 0
	add := func(log float32) {
		i := n
		for ; i > 0 && all[i-1] > log; i-- {
			all[i] = all[i-1]
		}
		all[i] = log
		n++
	}
	for i := range w.runs {
		if o := &w.runs[i]; counts(now, o.at, o.log) {
			add(o.log)
		}
	}
	if counts(now, w.tailAt, w.tail) {
		add(w.tail)
	}
	if n == 0 {
		return summary{}
	}
	return summary{known: true, median: all[(n-1)/2], highest: all[n-1]}
}

// weight returns the sum of the weights of the observations that count, given the
// logarithm of the pool's median slowdown.
func (w *Worker) weight(now int64, pool float32) float64 {
	sum := priorWeight
	for i := range w.runs {
		o := &w.runs[i]
		if !counts(now, o.at, o.log) {
			continue
		}
		switch relative := o.log - pool; {
		case relative < recoveredLog:
			sum += normalWeight
		case relative < slowLog:
		case o.risen(pool):
			sum += changeWeight
		default:
			sum += runWeight
		}
	}
	if !counts(now, w.tailAt, w.tail) {
		return sum
	}
	switch relative := w.tail - pool; {
	case relative < recoveredLog:
		sum += normalWeight
	case relative >= slowLog:
		sum += tailWeight * float64(w.slowTails)
	}
	return sum
}
