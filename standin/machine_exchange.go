package standin

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// exchange processes one exchange that arrived at now.
func (m *machine) exchange(now time.Time, x infra.Exchange) infra.ExchangeReply {
	m.advance(now)
	if x.OwnerEpoch < m.owner {
		return m.head(infra.ExchangeReply{Refused: true})
	}
	if m.stale(x) {
		return m.head(infra.ExchangeReply{Stale: true})
	}
	m.owner = x.OwnerEpoch
	m.leaseUntil = m.now.Add(time.Duration(x.LeaseMS) * time.Millisecond)
	for _, o := range x.Orders {
		m.order(o)
	}
	m.guardMemory()
	return m.reply(x.Since)
}

// stale reports whether the exchange was made for an earlier life or came after
// its time. A start needs to name the life that it is for.
func (m *machine) stale(x infra.Exchange) bool {
	if x.Incarnation == "" {
		return x.Starts()
	}
	return x.Incarnation != m.incarnation() || m.clockMS() > x.ValidUntilMS
}

// incarnation names this life.
func (m *machine) incarnation() string { return strconv.FormatUint(m.first, 36) }

// clockMS is the time since the machine was born.
func (m *machine) clockMS() int64 { return m.now.Sub(m.born).Milliseconds() }

// head fills in what every reply tells.
func (m *machine) head(r infra.ExchangeReply) infra.ExchangeReply {
	r.Seq, r.Incarnation, r.ClockMS = m.seq, m.incarnation(), m.clockMS()
	return r
}

// reply returns the changes since a sequence number, or the whole list.
func (m *machine) reply(since uint64) infra.ExchangeReply {
	whole := since < m.first || since > m.seq
	reply := m.head(infra.ExchangeReply{FullList: whole, LatencyMS: maps.Clone(m.reported)})
	for _, r := range m.runs {
		if whole || r.seq > since {
			reply.Runs = append(reply.Runs, r.report())
		}
	}
	return reply
}

// order carries out one order; each is idempotent.
func (m *machine) order(o infra.Order) {
	r := m.find(o.Run)
	switch o.Kind {
	case infra.OrderStart:
		if r == nil {
			m.start(o)
		}
	case infra.OrderThrottle:
		if r != nil && r.running() && o.Percent > 0 {
			r.percent = min(o.Percent, fullPercent)
		}
	case infra.OrderCheckpoint:
		m.stop(o.Run, r, true)
	case infra.OrderStop:
		m.stop(o.Run, r, false)
	case infra.OrderForget:
		m.forget(r)
	}
	m.highest[o.Run.Job] = max(m.highest[o.Run.Job], o.Run.Epoch)
}

// start begins a run, or lists it as refused.
func (m *machine) start(o infra.Order) {
	r := &run{
		id:         o.Run,
		class:      o.Class,
		state:      infra.RunRunning,
		reserve:    o.Resources,
		use:        m.config.Behaviour.use(o.Class, declared(o)),
		workMS:     float64(o.WorkMS) * factor(m.config.Behaviour.Work, o.Class),
		doneMS:     checkpointProgress(o.Checkpoint),
		checkpoint: o.Checkpoint,
		percent:    fullPercent,
	}
	m.runs = append(m.runs, r)
	m.touch(r)
	if reason := m.refusal(o.Run); reason != "" {
		r.state = infra.RunRefused
		r.reason = reason
		return
	}
	m.supersede(o.Run)
	m.recordBegin(r)
	// What it resumed from is not progress that it saved.
	r.checkpoint = ""
	if m.faults.FailStarts {
		m.finish(r, infra.RunFailed, reasonStartFailed)
	}
}

// declared is what a start's job was declared to need.
func declared(o infra.Order) infra.Resources {
	if o.Declared == (infra.Resources{}) {
		return o.Resources
	}
	return o.Declared
}

// refusal returns why a run may not start, empty if it may.
func (m *machine) refusal(id infra.RunID) string {
	switch {
	case m.highest[id.Job] > id.Epoch:
		return reasonSuperseded
	case m.closed[id.Job] >= id.Epoch:
		return reasonStopped
	case m.faults.RefuseStarts:
		return reasonRefusing
	default:
		return ""
	}
}

// supersede stops the runs of lower epochs of a job that is about to start.
func (m *machine) supersede(id infra.RunID) {
	for _, r := range m.runs {
		if r.running() && r.id.Job == id.Job && r.id.Epoch < id.Epoch {
			m.finish(r, infra.RunStopped, reasonSuperseded)
		}
	}
}

// stop ends a run, with its progress if save is set. A run that is not known
// is listed as stopped, so that whoever asked learns that it does not run.
func (m *machine) stop(id infra.RunID, r *run, save bool) {
	if r == nil {
		r = &run{id: id, state: infra.RunStopped}
		m.runs = append(m.runs, r)
		m.close(id)
		m.touch(r)
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

// forget drops a finished run. Its epoch stays closed.
func (m *machine) forget(r *run) {
	if r == nil || r.running() {
		return
	}
	m.close(r.id)
	m.runs = slices.DeleteFunc(m.runs, func(other *run) bool { return other == r })
}
