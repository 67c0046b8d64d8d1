package batch

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
)

// ticksPerExchange is how often in an exchange interval a shard looks at what
// is due; exchanges are spread over these ticks.
const ticksPerExchange = 50

// Run works until ctx ends and waits for what it has under way.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.stopped)
	m.context = ctx
	defer m.tasks.Wait()
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
		m.drain(m.config.Now())
		m.flush(m.config.Now())
	}
}

// tickInterval is how often the shards look at what is due.
func (m *Manager) tickInterval() time.Duration {
	return max(m.config.Settings.Exchange.D()/ticksPerExchange, time.Millisecond)
}

// tick lets each shard do what the passing of time asks for.
func (m *Manager) tick(now time.Time) {
	for _, o := range m.shards {
		if o.live(now) {
			o.tick(now)
			m.move(now, o)
			m.rescan(now, o)
		}
	}
	m.askForMore(now)
	m.divide(now)
	m.count()
}

// flush carries out what the shards left in their outboxes.
func (m *Manager) flush(now time.Time) {
	for name, o := range m.shards {
		if o.fenced {
			m.lost[name] = o.grant
			m.drop(name, "another owner")
			continue
		}
		if o.live(now) && o.ready && o.dirty {
			o.plan(now)
		}
		changes := o.changes
		o.changes = nil
		for _, c := range changes {
			m.commit(c)
		}
		if o.live(now) {
			for _, msg := range o.messages(now) {
				m.exchange(now, o, msg)
			}
		}
		m.finishRelease(name, o)
	}
}

// exchange sends one message on a goroutine of its own. Its time counts from
// the check of the grant at now: a process that was paused in between must not
// renew leases of a shard that has another owner since.
func (m *Manager) exchange(now time.Time, o *owned, msg message) {
	left := exchangeTimeout - m.config.Now().Sub(now)
	ctx, cancel := context.WithTimeout(m.context, left)
	m.tasks.Go(func() {
		defer cancel()
		var reply infra.ExchangeReply
		err := ctx.Err()
		if err == nil {
			reply, err = m.config.Workers.Exchange(ctx, msg.address, msg.exchange)
		}
		m.post(func(now time.Time) {
			if m.holds(o) {
				o.answer(now, msg, reply, err)
			}
		})
	})
}

// holds reports whether the shard is still the one held.
func (m *Manager) holds(o *owned) bool { return m.shards[o.name] == o }

// drop forgets a shard at once.
func (m *Manager) drop(name, reason string) {
	o := m.shards[name]
	o.fenced = true
	o.stop()
	delete(m.shards, name)
	if o.released != nil {
		close(o.released)
	}
	event.ShardDropped.Log(m.config.Log, slog.String("shard", name), slog.String("reason", reason))
}

// release begins the hand-over of a shard.
func (m *Manager) release(_ time.Time, shard string, released chan struct{}) {
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
	m.tasks.Go(func() {
		<-first
		close(released)
	})
}

// finishRelease ends a hand-over once nothing of the shard is under way.
func (m *Manager) finishRelease(name string, o *owned) {
	if !o.releasing || o.open > 0 || o.exchanging() {
		return
	}
	event.WorkerShardReleased.Log(m.config.Log, slog.String("shard", name))
	m.drop(name, "released")
}

// exchanging reports whether an exchange is under way.
func (s *Shard) exchanging() bool {
	for _, w := range s.workers {
		if w.busy {
			return true
		}
	}
	return false
}

// count publishes the totals.
func (m *Manager) count() {
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
	return m.config.Table.Scan(ctx, prefix, after, scanPage)
}
