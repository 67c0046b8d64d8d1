package standin

import (
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

// machine is a worker without locks and clocks: every method is given the
// time, which never goes back.
type machine struct {
	config WorkerConfig
	faults WorkerFaults
	now    time.Time

	owner      uint64
	leaseUntil time.Time
	seq        uint64
	// runs is in the order of their starts.
	runs []*run
	// highest is the highest epoch of each job named in any order; closed
	// is the highest that may not start any more.
	highest map[string]uint64
	closed  map[string]uint64
	// first is seq at the last restart; a Since before it is unknown. born is
	// when that was.
	first      uint64
	born       time.Time
	nextSample time.Time
	// sampled and reported are tail latencies, which lag as usage does.
	sampled, reported map[string]float64
}

// newMachine returns an idle worker. Its sequence numbers begin at the time,
// so that one of an earlier life is not taken for its own.
func newMachine(config WorkerConfig, now time.Time) *machine {
	seq := uint64(max(now.UnixMicro(), 1))
	return &machine{
		config:     config,
		now:        now,
		seq:        seq,
		first:      seq,
		born:       now,
		highest:    map[string]uint64{},
		closed:     map[string]uint64{},
		nextSample: now.Add(config.Lag),
	}
}

// setFaults replaces the faults at now.
func (m *machine) setFaults(now time.Time, f WorkerFaults) {
	m.advance(now)
	if f.Dead && !m.faults.Dead {
		m.die()
	}
	m.faults = f
}

// die loses all runs and all memory of them.
func (m *machine) die() {
	for _, r := range m.runs {
		if r.running() {
			m.recordEnd(r, infra.RunExpired)
		}
	}
	fresh := newMachine(m.config, m.now)
	fresh.seq = max(fresh.seq, m.seq+1)
	fresh.first = fresh.seq
	*m = *fresh
}

// touch marks a run as changed.
func (m *machine) touch(r *run) {
	m.seq++
	r.seq = m.seq
}

// finish ends a running run.
func (m *machine) finish(r *run, state infra.RunState, reason string) {
	r.state = state
	r.reason = reason
	m.close(r.id)
	m.touch(r)
	m.recordEnd(r, state)
}

// close keeps a run's epoch and all below from starting.
func (m *machine) close(id infra.RunID) {
	m.closed[id.Job] = max(m.closed[id.Job], id.Epoch)
}

// find returns the run listed under id, nil if there is none.
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
		Worker: m.config.Name, Run: r.id, Resources: r.reserve,
		Capacity: m.config.Capacity, Checkpoint: r.checkpoint,
	}})
}

func (m *machine) recordEnd(r *run, state infra.RunState) {
	m.config.Recorder.Add(check.Record{At: m.now, RunEnded: &check.RunEnded{
		Worker: m.config.Name, Run: r.id, State: state, Checkpoint: r.checkpoint,
	}})
}
