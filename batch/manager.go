package batch

import (
	"context"
	"slices"
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

// Manager runs the worker shards that this host owns on one control goroutine,
// and forwards requests for jobs of other shards to their owners. Its exported
// methods are safe for concurrent use.
type Manager struct {
	config  Config
	metrics *metrics
	wake    chan struct{}

	mu sync.Mutex
	// inbox holds functions to run on the control goroutine.
	inbox []func(now time.Time)
	// stopped is closed once the control goroutine has ended.
	stopped chan struct{}
	// snapshot is the latest shard ownership.
	snapshot *ownership.Snapshot
	// loads is the last known number of pending jobs by shard.
	loads  map[string]int
	counts Counts
	// closedZones are the availability zones whose workers get no new jobs.
	closedZones []string

	// The fields below are used only on the control goroutine.
	shards  map[string]*ownedShard
	members map[string][]infra.Member
	// lost are grants under which a shard was dropped because another host
	// owns it. They are not used again.
	lost map[string]ownership.Grant
	// goroutines are those that Run waits for; context is the context of Run.
	goroutines sync.WaitGroup
	context    context.Context
	// calendar holds the configured events.
	calendar forecast.Calendar
	// quotas are the teams' quotas; divisions are those that this host divides.
	quotas    map[string]quota.Amount
	divisions map[string]*teamDivision
	// dividers are the hosts that divide the quotas, by team.
	dividers map[string]string
	// faults disable mechanisms; only tests set them.
	faults faults
}

// ownedShard is a shard with the grant under which this host owns it.
type ownedShard struct {
	*Shard
	grant ownership.Grant
	// stop cancels the replay.
	stop context.CancelFunc
	// released is closed once a release is complete; nil if none was requested.
	released chan struct{}
}

// grantValid reports whether the grant is valid at now. After it ends another
// host may own the shard, so leases must not be renewed.
func (o *ownedShard) grantValid(now time.Time) bool {
	return o.grant.Share != ownership.None && now.Before(o.grant.Until)
}

// New returns a manager and registers its peer methods. Its shards are
// processed while Run is running.
func New(c Config) *Manager {
	c = withDefaults(c)
	m := &Manager{
		config:   c,
		metrics:  newMetrics(c.Registerer),
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		snapshot: &ownership.Snapshot{},
		loads:    map[string]int{},
		shards:   map[string]*ownedShard{},
		members:  map[string][]infra.Member{},
		lost:     map[string]ownership.Grant{},

		quotas:    map[string]quota.Amount{},
		divisions: map[string]*teamDivision{},
		dividers:  map[string]string{},
	}
	m.registerHandlers(c.Mux)
	return m
}

// SetOwnership sets the latest ownership of shards.
func (m *Manager) SetOwnership(v *ownership.Snapshot) {
	m.mu.Lock()
	m.snapshot = v
	m.mu.Unlock()
	m.post(func(now time.Time) { m.applyOwnership(now, v) })
}

// SetPolicy applies new settings to the shards that this host owns and to their
// planners, which keep their learned estimates.
func (m *Manager) SetPolicy(b settings.Batch, o placement.Options) {
	m.post(func(time.Time) {
		m.config.Settings = b
		// Package settings has rejected invalid events before.
		m.calendar, _ = forecast.NewCalendar(o.Events)
		m.quotas = quotasOf(o.Teams)
		m.assignDividers()
		for _, shard := range m.shards {
			shard.setPolicy(b, o, m.quotas)
		}
	})
}

// SetClosedZones sets the availability zones whose workers get no new jobs.
func (m *Manager) SetClosedZones(zones []string) {
	m.mu.Lock()
	m.closedZones = zones
	m.mu.Unlock()
	m.post(func(now time.Time) {
		for _, shard := range m.shards {
			shard.setZoneClosed(now, slices.Contains(zones, zoneOf(shard.name)))
		}
	})
}

// SetWorkers sets the workers of each worker shard.
func (m *Manager) SetWorkers(workers map[string][]infra.Member) {
	m.post(func(now time.Time) {
		m.members = workers
		for name, o := range m.shards {
			o.setMembers(now, workers[name])
		}
	})
}

// Counts returns totals over the shards that this host owns.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Release stops a shard so that it can be handed over: no more jobs, starts or
// exchanges. It returns once none of the shard's commits and exchanges is in
// flight; the caller may then give up the shard's row.
func (m *Manager) Release(ctx context.Context, shard string) error {
	released := make(chan struct{})
	m.post(func(now time.Time) { m.beginRelease(now, shard, released) })
	select {
	case <-released:
		return nil
	case <-m.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues f to run on the control goroutine.
func (m *Manager) post(f func(now time.Time)) {
	m.mu.Lock()
	m.inbox = append(m.inbox, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// drain runs the posted functions.
func (m *Manager) runPosted(now time.Time) {
	m.mu.Lock()
	posted := m.inbox
	m.inbox = nil
	m.mu.Unlock()
	for _, f := range posted {
		f(now)
	}
}

// commit appends a shard's change to the journal.
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
