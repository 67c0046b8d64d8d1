package batch

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
)

// ticksPerExchange is the number of ticks per exchange interval; exchanges are
// spread over them.
const ticksPerExchange = 50

// Run processes the shards until ctx ends, then waits for the manager's
// goroutines.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.stopped)
	m.context = ctx
	defer m.goroutines.Wait()
	interval := m.tickInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if next := m.tickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-ticker.C:
			m.tick(m.config.Now())
		}
		m.runPosted(m.config.Now())
		m.flush(m.config.Now())
	}
}

// tickInterval returns the interval of the timer that drives the shards.
func (m *Manager) tickInterval() time.Duration {
	return max(m.config.Settings.Exchange.D()/ticksPerExchange, time.Millisecond)
}

// tick runs the periodic work of all shards.
func (m *Manager) tick(now time.Time) {
	for _, o := range m.shards {
		if o.grantValid(now) {
			o.tick(now)
			m.moveJobs(now, o)
			m.rescan(now, o)
		}
	}
	m.requestQuota(now)
	m.startRounds(now)
	m.publishCounts()
}

// flush sends the commits and exchanges that the shards have queued, and drops
// shards that were fenced or released.
func (m *Manager) flush(now time.Time) {
	for name, o := range m.shards {
		if o.fenced {
			m.lost[name] = o.grant
			m.dropShard(name, "another owner")
			continue
		}
		if o.grantValid(now) && o.ready && o.planNeeded {
			o.plan(now)
		}
		changes := o.changes
		o.changes = nil
		for _, c := range changes {
			m.commit(c)
		}
		if o.grantValid(now) {
			for _, msg := range o.messages(now) {
				m.exchange(now, o, msg)
			}
		}
		m.finishRelease(name, o)
	}
}

// exchange sends one message on a new goroutine. Its timeout starts at now, when
// the grant was checked, so that a process that was paused since does not renew
// leases of a shard that may have another owner.
func (m *Manager) exchange(now time.Time, o *ownedShard, msg message) {
	remaining := exchangeTimeout - m.config.Now().Sub(now)
	ctx, cancel := context.WithTimeout(m.context, remaining)
	m.goroutines.Go(func() {
		defer cancel()
		var reply infra.ExchangeReply
		err := ctx.Err()
		if err == nil {
			reply, err = m.config.Workers.Exchange(ctx, msg.address, msg.exchange)
		}
		m.post(func(now time.Time) {
			if m.isCurrent(o) {
				o.handleReply(now, msg, reply, err)
			}
		})
	})
}

// isCurrent reports whether o is still a shard of this manager.
func (m *Manager) isCurrent(o *ownedShard) bool { return m.shards[o.name] == o }

// dropShard removes a shard immediately, stops its replay and completes its
// release if one was requested.
func (m *Manager) dropShard(name, reason string) {
	o := m.shards[name]
	o.fenced = true
	o.stop()
	delete(m.shards, name)
	if o.released != nil {
		close(o.released)
	}
	event.ShardDropped.Log(m.config.Log, slog.String("shard", name), slog.String("reason", reason))
}

// beginRelease starts the release of a shard and closes released once it is
// complete.
func (m *Manager) beginRelease(_ time.Time, shard string, released chan struct{}) {
	o := m.shards[shard]
	if o == nil {
		close(released)
		return
	}
	o.releasing = true
	if o.released == nil {
		o.released = released
		return
	}
	first := o.released
	m.goroutines.Go(func() {
		<-first
		close(released)
	})
}

// finishRelease drops a releasing shard once it has no commits or exchanges in
// flight.
func (m *Manager) finishRelease(name string, o *ownedShard) {
	if !o.releasing || o.commitsInFlight > 0 || o.anyExchangeInFlight() {
		return
	}
	event.WorkerShardReleased.Log(m.config.Log, slog.String("shard", name))
	m.dropShard(name, "released")
}

// anyExchangeInFlight reports whether an exchange of the shard is in flight.
func (s *Shard) anyExchangeInFlight() bool {
	for _, w := range s.workers {
		if w.exchangeInFlight {
			return true
		}
	}
	return false
}

// publishCounts updates the totals, gauges and loads.
func (m *Manager) publishCounts() {
	c := Counts{Shards: len(m.shards)}
	loads := make(map[string]int, len(m.shards))
	for name, o := range m.shards {
		if o.ready {
			c.Ready++
		}
		c.Pending += o.pending
		c.Running += o.running
		c.Starts += o.starts
		c.Workers += len(o.workers)
		loads[name] = o.pending
	}
	m.metrics.pending.Set(float64(c.Pending))
	m.metrics.running.Set(float64(c.Running))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts = c
	for name, n := range loads {
		m.loads[name] = n
	}
}

// scan reads one page of rows.
func (m *Manager) scan(ctx context.Context, prefix, after string) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	return m.config.Table.Scan(ctx, prefix, after, scanPageRows)
}
