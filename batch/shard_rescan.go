package batch

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// rescanEvery is how often a shard looks through its rows for jobs that were
// handed over to it without its hearing of it.
const rescanEvery = 30 * time.Second

// rescan reads the shard's rows when it is time to.
func (m *Manager) rescan(now time.Time, o *owned) {
	if !o.Shard.live() || o.rescanning || now.Before(o.nextRescan) {
		return
	}
	first := o.nextRescan.IsZero()
	o.nextRescan = now.Add(rescanEvery)
	if first {
		// The replay has just read all rows; shards take turns after it.
		o.nextRescan = now.Add(rescanEvery/2 + time.Duration(m.fraction()*float64(rescanEvery)))
		return
	}
	o.rescanning = true
	m.tasks.Go(func() {
		rows, ok := m.rows(m.context, o.name)
		m.post(func(now time.Time) {
			o.rescanning = false
			if ok && m.holds(o) {
				o.rescanned(now, rows)
			}
		})
	})
}

// fraction returns a random number from 0 to 1.
func (m *Manager) fraction() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Rand.Float64()
}

// rows reads all rows of a shard; false if the table did not answer.
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
		if len(page) < scanPage {
			return out, true
		}
		after = page[len(page)-1].Key
	}
}

// rescanned takes in pending jobs that this shard does not know. A row counts
// once two scans found it unchanged, since one alone may be of a job that is
// just being submitted, or that was handed over or dropped meanwhile.
func (s *Shard) rescanned(now time.Time, rows []infra.Row) {
	before := s.unknown
	s.unknown = map[string]uint64{}
	prefix := jobPrefix + s.name + "/"
	for _, row := range rows {
		id, err := url.PathUnescape(strings.TrimPrefix(row.Key, prefix))
		if err != nil || s.jobs[id] != nil {
			continue
		}
		if before[id] != row.Version {
			s.unknown[id] = row.Version
			continue
		}
		record, err := decodeRecord(row.Value)
		if err == nil && record.State == task.Pending {
			s.expected[id] = now
			s.arrive(now, stored{record: record, version: row.Version})
		}
	}
}
