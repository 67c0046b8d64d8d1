package standin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// exchange processes one exchange that arrived at now.
func (m *machine) exchange(now time.Time, x infra.Exchange) infra.ExchangeReply {
	m.advance(now)
	if x.OwnerEpoch < m.ownerEpoch {
		return m.withHeader(infra.ExchangeReply{Refused: true})
	}
	if m.stale(x) {
		return m.withHeader(infra.ExchangeReply{Stale: true})
	}
	m.ownerEpoch = x.OwnerEpoch
	if x.Incarnation != "" {
		m.leaseUntil = m.now.Add(time.Duration(x.LeaseMS) * time.Millisecond)
	}
	for _, o := range x.Orders {
		m.order(o)
	}
	m.enforceMemory()
	return m.reply(x.Since)
}

// stale reports whether the exchange is for another incarnation or arrived after
// ValidUntilMS. An exchange without an incarnation must not start runs, and renews
// no lease.
func (m *machine) stale(x infra.Exchange) bool {
	if x.Incarnation == "" {
		return x.Starts()
	}
	return x.Incarnation != m.incarnation() || m.clockMS() > x.ValidUntilMS
}

// incarnation identifies the life of the worker. The time tells it from those of another
// process of this program, the count from others of the same time.
func (m *machine) incarnation() string {
	return fmt.Sprintf("%x-%d", m.restartedAt.UnixMicro(), m.life)
}

// clockMS returns the time since the last restart, in milliseconds.
func (m *machine) clockMS() int64 { return m.now.Sub(m.restartedAt).Milliseconds() }

// withHeader sets the fields that all replies have.
func (m *machine) withHeader(r infra.ExchangeReply) infra.ExchangeReply {
	r.Seq, r.Incarnation, r.ClockMS = m.seq, m.incarnation(), m.clockMS()
	return r
}

// reply returns the runs that changed after the sequence number since, or all runs
// if since is 0 or can't be of this life.
func (m *machine) reply(since uint64) infra.ExchangeReply {
	whole := since == 0 || since > m.seq
	reply := m.withHeader(infra.ExchangeReply{FullList: whole, LatencyMS: maps.Clone(m.reported)})
	for _, r := range m.runs {
		if whole || r.seq > since {
			reply.Runs = append(reply.Runs, r.report())
		}
	}
	if m.faults.AnyOrder {
		m.random.Shuffle(len(reply.Runs), func(i, j int) { reply.Runs[i], reply.Runs[j] = reply.Runs[j], reply.Runs[i] })
	}
	return reply
}

// order executes one order. Orders are idempotent.
func (m *machine) order(o infra.Order) {
	r := m.find(o.Run)
	switch o.Kind {
	case infra.OrderStart:
		if r == nil {
			m.start(o)
		}
	case infra.OrderThrottle:
		if r != nil && r.running() && o.Percent > 0 {
			r.cpuLimit = min(o.Percent, fullPercent)
		}
	case infra.OrderCheckpoint:
		m.stop(o.Run, r, true)
	case infra.OrderStop:
		m.stop(o.Run, r, false)
	case infra.OrderForget:
		m.forget(r)
	}
	m.highestEpochs[o.Run.Job] = max(m.highestEpochs[o.Run.Job], o.Run.Epoch)
}

// start adds a run, which starts or is refused.
func (m *machine) start(o infra.Order) {
	r := &run{
		id:         o.Run,
		class:      o.Class,
		state:      infra.RunRunning,
		reserved:   o.Resources,
		use:        m.config.Behaviour.use(o.Class, declared(o)),
		workMS:     float64(o.WorkMS) * factor(m.config.Behaviour.Work, o.Class),
		doneMS:     checkpointProgress(o.Checkpoint),
		checkpoint: o.Checkpoint,
		cpuLimit:   fullPercent,
	}
	m.runs = append(m.runs, r)
	m.markChanged(r)
	if reason := m.refusal(o.Run); reason != "" {
		r.state = infra.RunRefused
		r.reason = reason
		return
	}
	m.supersede(o.Run)
	m.recordBegin(r)
	// The checkpoint that the run resumed from isn't one that it saved.
	r.checkpoint = ""
	if m.faults.FailStarts {
		m.finish(r, infra.RunFailed, reasonStartFailed)
	}
}

// declared returns the declared resources of the order's job.
func declared(o infra.Order) infra.Resources {
	if o.Declared == (infra.Resources{}) {
		return o.Resources
	}
	return o.Declared
}

// refusal returns the reason why a run may not start; empty if it may.
func (m *machine) refusal(id infra.RunID) string {
	switch {
	case m.highestEpochs[id.Job] > id.Epoch:
		return reasonSuperseded
	case m.closedEpochs[id.Job] >= id.Epoch:
		return reasonStopped
	case m.faults.RefuseStarts:
		return reasonRefusing
	default:
		return ""
	}
}

// supersede stops the job's runs with lower epochs.
func (m *machine) supersede(id infra.RunID) {
	for _, r := range m.runs {
		if r.running() && r.id.Job == id.Job && r.id.Epoch < id.Epoch {
			m.finish(r, infra.RunStopped, reasonSuperseded)
		}
	}
}

// stop stops a run and, if save is set, checkpoints its progress. An unknown run
// (r is nil) is added as stopped, so that the next reply confirms the order.
func (m *machine) stop(id infra.RunID, r *run, save bool) {
	if r == nil {
		r = &run{id: id, state: infra.RunStopped}
		m.runs = append(m.runs, r)
		m.close(id)
		m.markChanged(r)
		return
	}
	if !r.running() {
		return
	}
	if save {
		r.checkpoint = checkpointName(id, r.doneMS)
	}
	m.finish(r, infra.RunStopped, "")
}

// forget removes a finished run. Its epoch still can't start again.
func (m *machine) forget(r *run) {
	if r == nil || r.running() {
		return
	}
	m.close(r.id)
	m.runs = slices.DeleteFunc(m.runs, func(other *run) bool { return other == r })
}
