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

// applyOwnership drops the shards that this host no longer owns, updates the
// grants of the others and takes over new ones.
func (m *Manager) applyOwnership(now time.Time, v *ownership.Snapshot) {
	for name, o := range m.shards {
		g, ok := v.Grants[name]
		if !ok || g.Epoch != o.epoch || g.Share == ownership.None {
			m.dropShard(name, "grant ended")
			continue
		}
		o.grant = g
		// The host itself may have rewritten its shard's row, for instance to
		// confirm a succession; later commits must use the newer version.
		o.fence.Version = g.Version
	}
	for name, g := range v.Grants {
		if m.shards[name] == nil && m.canTakeOver(now, name, g) {
			m.takeOver(now, name, g)
		}
	}
	m.assignDividers()
}

// canTakeOver reports whether the grant is for a worker shard, is valid, and is
// not known to be superseded.
func (m *Manager) canTakeOver(now time.Time, name string, g ownership.Grant) bool {
	lost, ok := m.lost[name]
	superseded := ok && lost.Epoch == g.Epoch && lost.Version == g.Version
	return strings.HasPrefix(name, workerShards) && g.At(now) != ownership.None && !superseded
}

// takeOver creates a shard and starts its replay.
func (m *Manager) takeOver(now time.Time, name string, g ownership.Grant) {
	l := limits{Batch: m.config.Settings, taskLease: m.config.TaskLease, clockRate: m.config.ClockRate, retention: m.config.Retention}
	s := newShard(name, g.Epoch, g.Version, l, m.config.NewPlanner(name), m.config.Log, m.metrics)
	s.faults = m.faults
	s.setQuotas(m.quotas)
	s.zoneClosed = !m.zoneOpen(zoneOf(name))
	ctx, cancel := context.WithCancel(m.context)
	o := &ownedShard{Shard: s, grant: g, stop: cancel}
	m.shards[name] = o
	s.setMembers(now, m.members[name])
	for _, w := range s.workers {
		w.nextExchange = now.Add(m.randomExchangeDelay())
	}
	event.ShardReplaying.Log(m.config.Log, slog.String("shard", name), slog.Uint64("epoch", g.Epoch))
	m.goroutines.Go(func() { m.replay(ctx, o) })
}

// randomExchangeDelay returns a random duration up to the exchange interval.
func (m *Manager) randomExchangeDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.config.Rand.Int64N(int64(m.config.Settings.Exchange.D()) + 1))
}

// replay reads the shard's records and the quota divisions, retrying until the
// shard is dropped, and loads them into the shard. Earlier owners can't write any
// more, because the version of the shard's row has changed.
func (m *Manager) replay(ctx context.Context, o *ownedShard) {
	var divisions map[string]storedDivision
	records, err := backoff.Retry(ctx, func() ([]storedRecord, error) {
		records, err := m.readRecords(ctx, o.name)
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
		if !m.isCurrent(o) {
			return
		}
		o.loadAllotments(divisions)
		o.load(now, records)
		event.ShardReplayed.Log(m.config.Log, slog.String("shard", o.name), slog.Int("records", len(records)))
	})
}

// replayBackoff returns the backoff between attempts of a replay.
func replayBackoff() backoff.BackOff {
	const first, largest = 100 * time.Millisecond, 2 * time.Second
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = largest
	return b
}

// readRecords reads all records of a shard. It logs and skips those that can't
// be decoded.
func (m *Manager) readRecords(ctx context.Context, shard string) ([]storedRecord, error) {
	prefix := jobPrefix + shard + "/"
	var records []storedRecord
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
			records = append(records, storedRecord{record: r, version: row.Version})
		}
		if len(rows) < scanPageRows {
			return records, nil
		}
	}
}
