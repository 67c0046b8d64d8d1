package standin

import (
	"math/rand/v2"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

// Reasons in reports of runs.
const (
	reasonOutOfMemory = "out_of_memory"
	reasonStartFailed = "start_failed"
	reasonRefusing    = "refusing"
	reasonSuperseded  = "superseded"
	reasonStopped     = "stopped_before"
)

// machine simulates a worker. It has no lock and no clock: callers pass the time,
// which must not decrease.
type machine struct {
	config WorkerConfig
	faults WorkerFaults
	now    time.Time

	ownerEpoch uint64
	leaseUntil time.Time
	seq        uint64
	// runs lists the runs in the order in which they were added.
	runs []*run
	// highestEpochs holds the highest epoch of each job in any order received,
	// closedEpochs the highest epoch of each job that may no longer start.
	highestEpochs map[string]uint64
	closedEpochs  map[string]uint64
	// life counts the lives of the worker under its name, restartedAt is when this one
	// began. All above is of this life.
	life        uint64
	restartedAt time.Time
	// random is the order of the runs with the AnyOrder fault.
	random     *rand.Rand
	nextSample time.Time
	// sampled and reported are the tail latencies of the last and of the previous
	// sample; the previous one is reported.
	sampled, reported map[string]float64
}

// newMachine returns an idle worker in its first life. Sequence numbers and the clock
// start anew with each life: only the incarnation tells lives apart.
func newMachine(config WorkerConfig, now time.Time) *machine {
	return &machine{
		config:        config,
		now:           now,
		life:          1,
		restartedAt:   now,
		random:        rand.New(rand.NewPCG(1, 1)),
		highestEpochs: map[string]uint64{},
		closedEpochs:  map[string]uint64{},
		nextSample:    now.Add(config.Lag),
	}
}

// setFaults replaces the faults at the time now.
func (m *machine) setFaults(now time.Time, f WorkerFaults) {
	m.advance(now)
	if f.Dead && !m.faults.Dead {
		m.crash()
	}
	m.faults = f
}

// restart simulates a crash after which the worker is up again under its name. Faults
// stay.
func (m *machine) restart(now time.Time) {
	m.advance(now)
	faults := m.faults
	m.crash()
	m.faults = faults
}

// crash simulates a crash: all runs end and the state is reset.
func (m *machine) crash() {
	for _, r := range m.runs {
		if r.running() {
			m.recordEnd(r, infra.RunExpired)
		}
	}
	fresh := newMachine(m.config, m.now)
	fresh.life, fresh.random = m.life+1, m.random
	*m = *fresh
}

// markChanged assigns a new sequence number to a changed run.
func (m *machine) markChanged(r *run) {
	m.seq++
	r.seq = m.seq
}

// finish ends a run and prevents its epoch from starting again.
func (m *machine) finish(r *run, state infra.RunState, reason string) {
	r.state = state
	r.reason = reason
	m.close(r.id)
	m.markChanged(r)
	m.recordEnd(r, state)
}

// close prevents starts of the run's epoch and of lower ones.
func (m *machine) close(id infra.RunID) {
	m.closedEpochs[id.Job] = max(m.closedEpochs[id.Job], id.Epoch)
}

// find returns the run with the id, or nil.
func (m *machine) find(id infra.RunID) *run {
	for _, r := range m.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (m *machine) recordBegin(r *run) {
	m.config.Recorder.Add(check.Record{At: m.now, RunBegan: &check.RunBegan{
		Worker: m.config.Name, Zone: m.config.Zone, Run: r.id, Resources: r.reserved,
		Capacity: m.config.Capacity, Checkpoint: r.checkpoint,
	}})
}

func (m *machine) recordEnd(r *run, state infra.RunState) {
	m.config.Recorder.Add(check.Record{At: m.now, RunEnded: &check.RunEnded{
		Worker: m.config.Name, Run: r.id, State: state, Checkpoint: r.checkpoint,
	}})
}
