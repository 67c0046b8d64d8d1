package batch

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/ownership"
)

// apply takes in a new view: shards no longer held are dropped, new ones are
// replayed.
func (m *Manager) apply(now time.Time, v *ownership.Snapshot) {
	for name, o := range m.shards {
		g, ok := v.Grants[name]
		if !ok || g.Epoch != o.epoch || g.Share == ownership.None {
			m.drop(name, "grant ended")
			continue
		}
		o.grant = g
		// A host may write its own shard's row anew, for instance to confirm
		// a succession; later commits carry the newer version.
		o.fence.Version = g.Version
	}
	for name, g := range v.Grants {
		if m.shards[name] == nil && m.mayGain(now, name, g) {
			m.gain(now, name, g)
		}
	}
	m.assignDuties()
}

// mayGain reports whether the grant is of a worker shard and was not found to
// be overtaken.
func (m *Manager) mayGain(now time.Time, name string, g ownership.Grant) bool {
	lost, ok := m.lost[name]
	overtaken := ok && lost.Epoch == g.Epoch && lost.Version == g.Version
	return strings.HasPrefix(name, workerShards) && g.At(now) != ownership.None && !overtaken
}

// gain takes over a shard.
func (m *Manager) gain(now time.Time, name string, g ownership.Grant) {
	l := limits{Batch: m.config.Settings, taskLease: m.config.TaskLease, clockRate: m.config.ClockRate, retention: m.config.Retention}
	s := newShard(name, g.Epoch, g.Version, l, m.config.NewPlanner(name), m.config.Log, m.metrics)
	s.faults = m.faults
	s.setQuotas(m.quotas)
	ctx, cancel := context.WithCancel(m.context)
	o := &owned{Shard: s, grant: g, stop: cancel}
	m.shards[name] = o
	s.setMembers(now, m.members[name])
	for _, w := range s.workers {
		w.next = now.Add(m.spread())
	}
	event.ShardReplaying.Log(m.config.Log, slog.String("shard", name), slog.Uint64("epoch", g.Epoch))
	m.tasks.Go(func() { m.replay(ctx, o) })
}

// spread returns a random part of the exchange interval.
func (m *Manager) spread() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.config.Rand.Int64N(int64(m.config.Settings.Exchange.D()) + 1))
}

// replay reads the shard's records. The fence is in place: the row changed
// before, so no earlier owner writes any more.
func (m *Manager) replay(ctx context.Context, o *owned) {
	var divisions map[string]storedDivision
	records, err := backoff.Retry(ctx, func() ([]stored, error) {
		records, err := m.read(ctx, o.name)
		if err == nil {
			divisions, err = m.readDivisions(ctx)
		}
		if err != nil {
			event.ShardReplayFailed.Log(m.config.Log, slog.String("shard", o.name), slog.String("error", err.Error()))
		}
		return records, err
	}, backoff.WithBackOff(replayBackoff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return // the shard was dropped
	}
	m.post(func(now time.Time) {
		if !m.holds(o) {
			return
		}
		o.beginAllotments(divisions)
		o.load(now, records)
		event.ShardReplayed.Log(m.config.Log, slog.String("shard", o.name), slog.Int("records", len(records)))
	})
}

// replayBackoff returns the waits between attempts of a replay.
func replayBackoff() backoff.BackOff {
	const first, largest = 100 * time.Millisecond, 2 * time.Second
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = largest
	return b
}

// read reads all records of a shard, page by page.
func (m *Manager) read(ctx context.Context, shard string) ([]stored, error) {
	prefix := jobPrefix + shard + "/"
	var records []stored
	after := ""
	for {
		rows, err := m.scan(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			r, err := decodeRecord(row.Value)
			if err != nil {
				event.RecordUnreadable.Log(m.config.Log, slog.String("key", row.Key), slog.String("error", err.Error()))
				continue
			}
			records = append(records, stored{record: r, version: row.Version})
		}
		if len(rows) < scanPage {
			return records, nil
		}
	}
}
