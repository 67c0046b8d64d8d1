package dispatch

// Cause is why a step's task waits, by the check that stops it on the worker
// where it gets furthest.
type Cause uint8

// The causes, in the order of the checks.
const (
	// NoWorker: no usable worker of its pool has its label.
	NoWorker Cause = iota
	// NoProcessors: none has the processors.
	NoProcessors
	// NoMemory: none that has the processors has the memory.
	NoMemory
	// KeptRoom: the room is kept for a step before it.
	KeptRoom
	// TooManyThere: where there is room, it has as many tasks as it may.
	TooManyThere
	// WouldHarm: where there is room, it would disturb those who serve.
	WouldHarm
	// NoPermit: the policy service hasn't permitted a worker that has room.
	NoPermit
	// Headroom: the room is kept for short work.
	Headroom
	// Fits: it fits, and starts with the next cycle.
	Fits
	causes
)

var causeNames = [causes]string{
	"no_worker", "no_processors", "no_memory", "kept_room", "too_many_there", "would_harm", "no_permit", "headroom", "fits",
}

// String returns the cause as logs and metrics show it.
func (c Cause) String() string {
	if c < causes {
		return causeNames[c]
	}
	return "unknown"
}

// causeOf returns why the first idle task of a step waits.
func (c *cycle) causeOf(st *step) Cause {
	worst := NoWorker
	for _, w := range c.workers {
		worst = max(worst, c.causeAt(st, w))
	}
	if worst == Fits {
		for i := range st.tasks {
			if t := &st.tasks[i]; !t.done && len(t.runs) == 0 && !c.mayBegin(t) {
				return Headroom
			}
		}
	}
	return worst
}

// causeAt returns the check that keeps a step's task from a worker.
func (c *cycle) causeAt(st *step, w *worker) Cause {
	reserved := st.spec.Reserved()
	switch {
	case !c.allowed(st, w):
		return NoWorker
	case reserved.MilliCPU > w.free.MilliCPU || !c.fillable(st, w):
		return NoProcessors
	case !reserved.Fits(w.free):
		return NoMemory
	case c.kept[w.slot]:
		return KeptRoom
	case c.crowded(st, w):
		return TooManyThere
	}
	if _, ok := c.harm(st, w); !ok {
		return WouldHarm
	}
	if _, ok := st.ticketFor(c.now, w); !ok {
		return NoPermit
	}
	return Fits
}
