package batch

import (
	"context"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/settings"
)

// Manager runs the worker shards that this host owns, on one control
// goroutine, and answers for jobs of shards owned elsewhere. Its exported
// methods are safe for concurrent use.
type Manager struct {
	config  Config
	metrics *metrics
	wake    chan struct{}

	mu sync.Mutex
	// inbox is what the control goroutine has to do.
	inbox []func(now time.Time)
	// stopped is set once the control goroutine has ended.
	stopped chan struct{}
	// view is the newest ownership.
	view *ownership.Snapshot
	// loads is the number of waiting jobs by shard, as last heard.
	loads  map[string]int
	counts Counts

	// The fields below belong to the control goroutine.
	shards  map[string]*owned
	members map[string][]infra.Member
	// lost are grants under which a shard was dropped because another host
	// owns it; they are not taken up again.
	lost    map[string]ownership.Grant
	tasks   sync.WaitGroup
	context context.Context
	// calendar holds the events in force.
	calendar forecast.Calendar
	// quotas are the teams' quotas, and divisions those that this host
	// divides.
	quotas    map[string]quota.Amount
	divisions map[string]*division
	// dividers are the hosts that divide, by team.
	dividers map[string]string
	// faults break a mechanism on purpose; only tests set them.
	faults faults
}

// owned is a shard with the grant that it is held under.
type owned struct {
	*Shard
	grant ownership.Grant
	// stop ends the replay.
	stop context.CancelFunc
	// released is closed once a hand-over has nothing under way.
	released chan struct{}
}

// live reports whether leases may be renewed under the grant: past its end
// another host may have taken over.
func (o *owned) live(now time.Time) bool {
	return o.grant.Share != ownership.None && now.Before(o.grant.Until)
}

// New returns a manager and registers its peer methods; it works once Run is
// called.
func New(c Config) *Manager {
	c = withDefaults(c)
	m := &Manager{
		config:  c,
		metrics: newMetrics(c.Registerer),
		wake:    make(chan struct{}, 1),
		stopped: make(chan struct{}),
		view:    &ownership.Snapshot{},
		loads:   map[string]int{},
		shards:  map[string]*owned{},
		members: map[string][]infra.Member{},
		lost:    map[string]ownership.Grant{},

		quotas:    map[string]quota.Amount{},
		divisions: map[string]*division{},
		dividers:  map[string]string{},
	}
	m.handle(c.Mux)
	return m
}

// SetOwnership takes in the newest ownership of shards.
func (m *Manager) SetOwnership(v *ownership.Snapshot) {
	m.mu.Lock()
	m.view = v
	m.mu.Unlock()
	m.post(func(now time.Time) { m.apply(now, v) })
}

// SetPolicy brings other settings into force in the shards owned here and in
// their planners, which keep what they learned.
func (m *Manager) SetPolicy(b settings.Batch, o placement.Options) {
	m.post(func(time.Time) {
		m.config.Settings = b
		// Events that can't be read are refused by package settings before.
		m.calendar, _ = forecast.NewCalendar(o.Events)
		m.quotas = quotasOf(o.Teams)
		m.assignDuties()
		for _, shard := range m.shards {
			shard.setPolicy(b, o, m.quotas)
		}
	})
}

// SetWorkers takes in the workers of each worker shard.
func (m *Manager) SetWorkers(workers map[string][]infra.Member) {
	m.post(func(now time.Time) {
		m.members = workers
		for name, o := range m.shards {
			o.setMembers(now, workers[name])
		}
	})
}

// Counts returns totals over the shards owned here.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Release stops all work of a shard for a hand-over: no new job, start or
// exchange. It returns once no commit of the shard is under way; the caller
// may then give up the shard's row.
func (m *Manager) Release(ctx context.Context, shard string) error {
	released := make(chan struct{})
	m.post(func(now time.Time) { m.release(now, shard, released) })
	select {
	case <-released:
		return nil
	case <-m.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post has f run on the control goroutine.
func (m *Manager) post(f func(now time.Time)) {
	m.mu.Lock()
	m.inbox = append(m.inbox, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// drain runs what was posted.
func (m *Manager) drain(now time.Time) {
	m.mu.Lock()
	posted := m.inbox
	m.inbox = nil
	m.mu.Unlock()
	for _, f := range posted {
		f(now)
	}
}

// commit hands a shard's change to the journal.
func (m *Manager) commit(c change) {
	m.config.Journal.Append(journal.Entry{
		Conditions: c.conditions,
		Writes:     c.writes,
		Urgent:     c.urgent,
		Deadline:   c.deadline,
		Done: func(r infra.CommitResult) {
			m.post(func(now time.Time) { c.done(now, r) })
		},
	})
}
