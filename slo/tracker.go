package slo

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/burn"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// Intervals and limits of a Tracker.
const (
	// countInterval is the interval at which counters are added to the
	// recorder.
	countInterval = time.Second
	// flushInterval is the interval at which counts are written to the table.
	flushInterval = time.Minute
	// staleAfter is the time without a write after which a host counts as
	// failed.
	staleAfter = 3 * flushInterval
	// retention is how long counts are stored. It exceeds the longest window
	// of a report.
	retention    = 96 * time.Hour
	scanPageRows = 500
)

// Committer writes rows to the table. It is implemented by journal.Journal.
type Committer interface {
	Commit(ctx context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult
}

// Tracker counts one host's calls and stores the counts.
type Tracker struct {
	host      string
	table     infra.Table
	committer Committer
	log       *slog.Logger
	now       func() time.Time
	counters  atomic.Pointer[counters]
	metrics   *metrics

	mu         sync.Mutex // guards the fields below
	objectives map[string]settings.Objective
	recorder   *burn.Recorder
}

// NewTracker returns a tracker. The name host must be unique among all
// processes that ever ran. Metrics are registered with r, which may be nil.
func NewTracker(host string, table infra.Table, committer Committer, r prometheus.Registerer, log *slog.Logger, now func() time.Time) *Tracker {
	t := &Tracker{
		host: host, table: table, committer: committer, log: log, now: now,
		metrics: newMetrics(r), recorder: burn.NewRecorder(host),
	}
	t.counters.Store((*counters)(nil).withObjectives(nil))
	return t
}

// SetObjectives replaces the objectives. Calls observed since the
// last count are dropped for objectives that are removed or whose latency bound
// has changed.
func (t *Tracker) SetObjectives(objectives map[string]settings.Objective) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objectives = objectives
	t.counters.Store(t.counters.Load().withObjectives(objectives))
}

// Observe counts one call of a service. It is safe for concurrent use and
// takes no lock.
func (t *Tracker) Observe(service string, latency time.Duration, served bool) {
	for _, c := range t.counters.Load().byService[service] {
		c.total.Add(1)
		if served && latency <= c.latency {
			c.good.Add(1)
		}
	}
}

// Run updates and writes the counts until the context ends. Close writes them
// for the last time.
func (t *Tracker) Run(ctx context.Context) {
	count := time.NewTicker(countInterval)
	defer count.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-count.C:
			t.count()
		case <-flush.C:
			t.flush(ctx, false)
		}
	}
}

// Close writes the final counts and marks them as closed.
func (t *Tracker) Close(ctx context.Context) {
	t.count()
	t.flush(ctx, true)
}

// count moves the calls observed since the last count to the recorder and adds
// them to the metrics.
func (t *Tracker) count() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for name, c := range t.counters.Load().byName {
		good, total := c.drain()
		t.recorder.Add(now, name, good, total)
		t.metrics.add(name, good, total)
	}
}

func (t *Tracker) flush(ctx context.Context, closing bool) {
	t.mu.Lock()
	counts := t.recorder.Flush(t.now(), closing)
	t.mu.Unlock()
	for part := range slices.Chunk(counts, commitRows) {
		t.write(ctx, part)
	}
}

// commitRows bounds the rows of one commit, of which the table service takes 100.
const commitRows = 90

// write writes counts. If that fails, they are part of the next flush.
func (t *Tracker) write(ctx context.Context, counts []burn.HourCounts) {
	writes := make([]infra.Write, 0, len(counts))
	for _, s := range counts {
		writes = append(writes, infra.Write{Key: countsKey(s), Value: encode(s)})
	}
	if r := t.committer.Commit(ctx, nil, writes); r.Status == infra.CommitApplied {
		return
	}
	event.BurnFlushFailed.Log(t.log, slog.Int("sheets", len(counts)))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range counts {
		t.recorder.Restore(s)
	}
}

// Reports evaluates every objective over the counts of all hosts. If the table
// is unavailable, it returns the error along with reports that may cover this
// host only.
func (t *Tracker) Reports(ctx context.Context) ([]burn.Report, error) {
	t.count()
	now := t.now()
	t.mu.Lock()
	objectives := t.objectives
	own := t.recorder.Snapshot()
	t.mu.Unlock()
	var reports []burn.Report
	var failed error
	for _, name := range sortedNames(objectives) {
		counts, err := t.read(ctx, name, now)
		if err != nil {
			failed = err
		}
		o := objectives[name]
		reports = append(reports, burn.Evaluate(
			burn.Objective{Name: name, Service: o.Service, Target: o.Target},
			replaceOwn(counts, own), now, staleAfter))
	}
	return reports, failed
}

// read returns the counts of one objective within the longest window.
func (t *Tracker) read(ctx context.Context, objective string, now time.Time) ([]burn.HourCounts, error) {
	prefix := objectivePrefix(objective)
	oldest := now.Add(-burn.Windows[len(burn.Windows)-1])
	after := fmt.Sprintf("%s%012d", prefix, burn.HourOf(oldest.UnixMilli()))
	var counts []burn.HourCounts
	for {
		rows, err := t.table.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return counts, err
		}
		for _, row := range rows {
			var s burn.HourCounts
			if err := msgpack.Unmarshal(row.Value, &s); err == nil {
				counts = append(counts, s)
			}
			after = row.Key
		}
		if len(rows) < scanPageRows {
			return counts, nil
		}
	}
}

// Sweep deletes counts of current objectives that are older than retention,
// among the first scanPageRows rows of each. It should run on one host at a time.
func (t *Tracker) Sweep(ctx context.Context) {
	t.mu.Lock()
	names := sortedNames(t.objectives)
	t.mu.Unlock()
	limit := burn.HourOf(t.now().Add(-retention).UnixMilli())
	for _, name := range names {
		prefix := objectivePrefix(name)
		rows, err := t.table.Scan(ctx, prefix, "", scanPageRows)
		if err != nil {
			return
		}
		end := fmt.Sprintf("%s%012d", prefix, limit)
		var writes []infra.Write
		for _, row := range rows {
			if row.Key < end {
				writes = append(writes, infra.Write{Key: row.Key, Delete: true})
			}
		}
		for part := range slices.Chunk(writes, commitRows) {
			t.committer.Commit(ctx, nil, part)
		}
	}
}

func objectivePrefix(objective string) string { return "burn/" + objective + "/" }

func countsKey(s burn.HourCounts) string {
	return fmt.Sprintf("%s%012d/%s", objectivePrefix(s.Objective), s.Hour, s.Host)
}

func encode(s burn.HourCounts) []byte {
	value, err := msgpack.Marshal(s)
	if err != nil {
		panic("slo: encode hourly counts: " + err.Error())
	}
	return value
}

// replaceOwn returns the stored counts with this host's own replaced by its
// current ones.
func replaceOwn(counts, own []burn.HourCounts) []burn.HourCounts {
	current := map[string]bool{}
	for _, s := range own {
		current[countsKey(s)] = true
	}
	out := append([]burn.HourCounts{}, own...)
	for _, s := range counts {
		if !current[countsKey(s)] {
			out = append(out, s)
		}
	}
	return out
}

func sortedNames(objectives map[string]settings.Objective) []string {
	names := make([]string, 0, len(objectives))
	for name := range objectives {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
