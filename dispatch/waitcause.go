package dispatch

import "github.com/fireflygate/fireflygate/infra"

// WaitCause is why a step's task waits: the check that rejects it on the worker
// where it passes the most checks.
type WaitCause uint8

// The causes, in the order of the checks.
const (
	// NoWorker: no usable worker in the pool has the required label.
	NoWorker WaitCause = iota
	// NoProcessors: no worker has enough free processors.
	NoProcessors
	// NoMemory: no worker with enough processors has enough memory.
	NoMemory
	// ReservedCapacity: the free capacity is reserved for a step ahead in the
	// queue.
	ReservedCapacity
	// PerWorkerLimit: workers with capacity already run the step's MaxPerWorker
	// tasks.
	PerWorkerLimit
	// WouldInterfere: workers with capacity run serving tasks that it would
	// slow down.
	WouldInterfere
	// NoPermit: the policy service has permitted no worker with capacity.
	NoPermit
	// Headroom: the free capacity is held as headroom for short tasks.
	Headroom
	// ZoneClosed: workers in closed availability zones could take it, no others can.
	ZoneClosed
	// Fits: it fits, and starts with the next cycle.
	Fits
	waitCauseCount
)

// waitCauseNames holds the log keys and metric labels of the causes, in the order
// of the constants. They stay as they are when a constant is renamed.
var waitCauseNames = [waitCauseCount]string{
	"no_worker", "no_processors", "no_memory", "kept_room", "too_many_there", "would_harm", "no_permit", "headroom", "zone_closed", "fits",
}

// String returns the cause as it appears in logs and metrics.
func (c WaitCause) String() string {
	if c < waitCauseCount {
		return waitCauseNames[c]
	}
	return "unknown"
}

// stepWait says why a step's tasks wait.
type stepWait struct {
	// cause is the check that rejects the step's tasks, or Fits.
	cause WaitCause
	// fits counts the workers that can take one task now; otherCause is the
	// cause at the remaining workers.
	fits       int
	otherCause WaitCause
}

// alikeSteps identifies finite steps whose tasks wait for the same cause.
type alikeSteps struct {
	kind  stepKind
	needs infra.Resources
}

// waits finds the causes of waits, once for steps that are alike.
type waits struct {
	c     *cycle
	known map[alikeSteps]stepWait
}

func (w *waits) of(st *step) stepWait {
	kind, ok := st.kind()
	if !ok || st.spec.LongRunning {
		return w.c.waitOf(st)
	}
	alike := alikeSteps{kind, st.spec.Needs}
	found, known := w.known[alike]
	if !known {
		found = w.c.waitOf(st)
		w.known[alike] = found
	}
	return found
}

func (c *cycle) waitOf(st *step) stepWait {
	var w stepWait
	for _, at := range c.workers {
		if cause := c.causeAt(st, at); cause == Fits {
			w.fits++
		} else {
			w.otherCause = max(w.otherCause, cause)
		}
	}
	switch {
	case w.fits == 0 && c.fitsInClosedZone(st):
		w.cause, w.otherCause = ZoneClosed, ZoneClosed
	case w.fits == 0:
		w.cause = w.otherCause
	case c.waitsForHeadroom(st):
		w.cause, w.fits, w.otherCause = Headroom, 0, Headroom
	default:
		w.cause = Fits
	}
	return w
}

// lacksCapacityFor reports whether more capacity would end the wait of the step's tasks: at
// least one worker lacks it, and no worker rejects them for another reason. It visits no
// further worker once one does.
func (c *cycle) lacksCapacityFor(st *step) bool {
	lacks := false
	for _, w := range c.workers {
		switch cause := c.causeAt(st, w); {
		case cause == NoWorker:
		case cause.lackOfCapacity():
			lacks = true
		default:
			return false
		}
	}
	return lacks && !c.fitsInClosedZone(st)
}

// fitsInClosedZone reports whether a worker in a closed zone could take a task of the
// step if the zone were open.
func (c *cycle) fitsInClosedZone(st *step) bool {
	if len(c.s.closedZones.Zones) == 0 {
		return false
	}
	for _, w := range c.s.byID() {
		if w.zoneClosed && w.usableIfOpen(c.now) && c.causeAt(st, w) == Fits {
			return true
		}
	}
	return false
}

// waitsForHeadroom reports whether headroom holds back an idle task of the
// step.
func (c *cycle) waitsForHeadroom(st *step) bool {
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && len(t.runs) == 0 && !c.headroomAllows(t) {
			return true
		}
	}
	return false
}

// causeAt returns the check that rejects a step's task on a worker.
func (c *cycle) causeAt(st *step, w *worker) WaitCause {
	reserved := st.spec.Reserved()
	switch {
	case !c.allowed(st, w):
		return NoWorker
	case reserved.MilliCPU > w.free.MilliCPU || !c.hasUnusedCPU(st, w):
		return NoProcessors
	case !reserved.Fits(w.free):
		return NoMemory
	case c.isReserved(w):
		return ReservedCapacity
	case c.atPerWorkerLimit(st, w):
		return PerWorkerLimit
	}
	if _, ok := c.impact(st, w); !ok {
		return WouldInterfere
	}
	if _, ok := st.permitFor(c.now, w); !ok {
		return NoPermit
	}
	return Fits
}
