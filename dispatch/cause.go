package dispatch

// WaitCause is why a step's task waits, by the check that stops it on the worker
// where it gets furthest.
type WaitCause uint8

// The causes, in the order of the checks.
const (
	// NoWorker: no usable worker of its pool has its label.
	NoWorker WaitCause = iota
	// NoProcessors: none has the processors.
	NoProcessors
	// NoMemory: none that has the processors has the memory.
	NoMemory
	// ReservedCapacity: the room is kept for a step before it.
	ReservedCapacity
	// PerWorkerLimit: where there is room, it has as many tasks as it may.
	PerWorkerLimit
	// WouldInterfere: where there is room, it would disturb those who serve.
	WouldInterfere
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
func (c WaitCause) String() string {
	if c < causes {
		return causeNames[c]
	}
	return "unknown"
}

// wait says why a step's tasks wait.
type wait struct {
	// cause is the check that stops the first idle task where it gets furthest.
	cause WaitCause
	// fits counts the workers that would take one task now, otherwise is the
	// cause at the rest.
	fits      int
	otherwise WaitCause
}

// waitOf returns why the step's tasks wait.
func (c *cycle) waitOf(st *step) wait {
	var w wait
	for _, at := range c.workers {
		if cause := c.causeAt(st, at); cause == Fits {
			w.fits++
		} else {
			w.otherwise = max(w.otherwise, cause)
		}
	}
	switch {
	case w.fits == 0:
		w.cause = w.otherwise
	case c.waitsForHeadroom(st):
		w.cause, w.fits, w.otherwise = Headroom, 0, Headroom
	default:
		w.cause = Fits
	}
	return w
}

// waitsForHeadroom reports whether an idle task of the step may not begin.
func (c *cycle) waitsForHeadroom(st *step) bool {
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && len(t.runs) == 0 && !c.mayBegin(t) {
			return true
		}
	}
	return false
}

// causeAt returns the check that keeps a step's task from a worker.
func (c *cycle) causeAt(st *step, w *worker) WaitCause {
	reserved := st.spec.Reserved()
	switch {
	case !c.allowed(st, w):
		return NoWorker
	case reserved.MilliCPU > w.free.MilliCPU || !c.fillable(st, w):
		return NoProcessors
	case !reserved.Fits(w.free):
		return NoMemory
	case c.kept[w.slot]:
		return ReservedCapacity
	case c.crowded(st, w):
		return PerWorkerLimit
	}
	if _, ok := c.harm(st, w); !ok {
		return WouldInterfere
	}
	if _, ok := st.ticketFor(c.now, w); !ok {
		return NoPermit
	}
	return Fits
}
