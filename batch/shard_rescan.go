package batch

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// rescanInterval is how often a shard scans its rows for jobs that were handed
// over without a notification.
const rescanInterval = 30 * time.Second

// rescan starts a scan of the shard's rows if one is due.
func (m *Manager) rescan(now time.Time, o *ownedShard) {
	if !o.acceptsWork() || o.rescanning || now.Before(o.nextRescan) {
		return
	}
	first := o.nextRescan.IsZero()
	o.nextRescan = now.Add(rescanInterval)
	if first {
		// The replay has just read all rows. The random delay spreads the
		// scans of different shards.
		o.nextRescan = now.Add(rescanInterval/2 + time.Duration(m.randomFraction()*float64(rescanInterval)))
		return
	}
	o.rescanning = true
	m.goroutines.Go(func() {
		rows, ok := m.rows(m.context, o.name)
		m.post(func(now time.Time) {
			o.rescanning = false
			if ok && m.isCurrent(o) {
				o.handleRescan(now, rows)
			}
		})
	})
}

// randomFraction returns a random number in [0, 1).
func (m *Manager) randomFraction() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Rand.Float64()
}

// rows returns all job rows of a shard; false if a scan failed.
func (m *Manager) rows(ctx context.Context, shard string) ([]infra.Row, bool) {
	prefix := jobPrefix + shard + "/"
	var out []infra.Row
	after := ""
	for {
		page, err := m.scan(ctx, prefix, after)
		if err != nil {
			return nil, false
		}
		out = append(out, page...)
		if len(page) < scanPageRows {
			return out, true
		}
		after = page[len(page)-1].Key
	}
}

// handleRescan adds pending jobs that the shard does not know. A row must be
// unchanged in two scans, because a single scan may include jobs that are being
// submitted, or that were handed over or deleted during the scan.
func (s *Shard) handleRescan(now time.Time, rows []infra.Row) {
	before := s.unknownRows
	s.unknownRows = map[string]uint64{}
	prefix := jobPrefix + s.name + "/"
	for _, row := range rows {
		id, err := url.PathUnescape(strings.TrimPrefix(row.Key, prefix))
		if err != nil || s.jobs[id] != nil {
			continue
		}
		if before[id] != row.Version {
			s.unknownRows[id] = row.Version
			continue
		}
		record, err := decodeRecord(row.Value)
		if err == nil && record.State == task.Pending {
			s.expected[id] = now
			s.adoptMoved(now, storedRecord{record: record, version: row.Version})
		}
	}
}
