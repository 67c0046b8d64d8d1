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

// Times of the keeper.
const (
	// countInterval is how often counts move from the traffic path to sheets.
	countInterval = time.Second
	// flushInterval is how often sheets are written.
	flushInterval = time.Minute
	// staleAfter is when a sheet that is not written any more counts as that
	// of a host that died.
	staleAfter = 3 * flushInterval
	// keepFor is how long sheets are kept.
	keepFor = 96 * time.Hour
	// scanPage is how many rows one scan reads.
	scanPage = 500
)

// Committer writes rows; journal.Journal is one.
type Committer interface {
	Commit(ctx context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult
}

// Keeper counts and keeps one host's calls.
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

// NewTracker returns a keeper; host names this process among all that ever ran.
// Its metrics go to r, which may be nil.
func NewTracker(host string, table infra.Table, committer Committer, r prometheus.Registerer, log *slog.Logger, now func() time.Time) *Tracker {
	k := &Tracker{
		host: host, table: table, committer: committer, log: log, now: now,
		metrics: newMetrics(r), recorder: burn.NewRecorder(host),
	}
	k.counters.Store((*counters)(nil).next(nil))
	return k
}

// SetObjectives replaces the objectives.
func (k *Tracker) SetObjectives(objectives map[string]settings.Objective) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.objectives = objectives
	k.counters.Store(k.counters.Load().next(objectives))
}

// Observe counts one call of a service. It is safe for concurrent use and
// takes no lock.
func (k *Tracker) Observe(service string, latency time.Duration, served bool) {
	for _, c := range k.counters.Load().byService[service] {
		c.total.Add(1)
		if served && latency <= c.latency {
			c.good.Add(1)
		}
	}
}

// Run counts and flushes until the context ends, then closes the sheets.
func (k *Tracker) Run(ctx context.Context) {
	count := time.NewTicker(countInterval)
	defer count.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-count.C:
			k.count()
		case <-flush.C:
			k.flush(ctx, false)
		}
	}
}

// Close writes the sheets for the last time.
func (k *Tracker) Close(ctx context.Context) {
	k.count()
	k.flush(ctx, true)
}

func (k *Tracker) count() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for name, c := range k.counters.Load().byName {
		good, total := c.drain()
		k.recorder.Add(now, name, good, total)
		k.metrics.add(name, good, total)
	}
}

func (k *Tracker) flush(ctx context.Context, closing bool) {
	k.mu.Lock()
	sheets := k.recorder.Flush(k.now(), closing)
	k.mu.Unlock()
	if len(sheets) == 0 {
		return
	}
	writes := make([]infra.Write, 0, len(sheets))
	for _, s := range sheets {
		writes = append(writes, infra.Write{Key: sheetKey(s), Value: encode(s)})
	}
	if r := k.committer.Commit(ctx, nil, writes); r.Status == infra.CommitApplied {
		return
	}
	event.BurnFlushFailed.Log(k.log, slog.Int("sheets", len(sheets)))
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range sheets {
		k.recorder.Restore(s)
	}
}

// Reports evaluates every objective over the sheets of all hosts. When the
// table does not answer, the error is returned and the reports speak of this
// host alone.
func (k *Tracker) Reports(ctx context.Context) ([]burn.Report, error) {
	k.count()
	now := k.now()
	k.mu.Lock()
	objectives := k.objectives
	own := k.recorder.Snapshot()
	k.mu.Unlock()
	var reports []burn.Report
	var failed error
	for _, name := range sortedNames(objectives) {
		sheets, err := k.read(ctx, name, now)
		if err != nil {
			failed = err
		}
		o := objectives[name]
		reports = append(reports, burn.Evaluate(
			burn.Objective{Name: name, Service: o.Service, Target: o.Target},
			replaceOwn(sheets, own), now, staleAfter))
	}
	return reports, failed
}

// read returns the sheets of one objective in the longest window.
func (k *Tracker) read(ctx context.Context, objective string, now time.Time) ([]burn.HourCounts, error) {
	prefix := objectivePrefix(objective)
	oldest := now.Add(-burn.Windows[len(burn.Windows)-1])
	after := fmt.Sprintf("%s%012d", prefix, burn.HourOf(oldest.UnixMilli()))
	var sheets []burn.HourCounts
	for {
		rows, err := k.table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return sheets, err
		}
		for _, row := range rows {
			var s burn.HourCounts
			if err := msgpack.Unmarshal(row.Value, &s); err == nil {
				sheets = append(sheets, s)
			}
			after = row.Key
		}
		if len(rows) < scanPage {
			return sheets, nil
		}
	}
}

// Sweep deletes sheets that no report needs any more. One host at a time
// should call it.
func (k *Tracker) Sweep(ctx context.Context) {
	k.mu.Lock()
	names := sortedNames(k.objectives)
	k.mu.Unlock()
	limit := burn.HourOf(k.now().Add(-keepFor).UnixMilli())
	for _, name := range names {
		prefix := objectivePrefix(name)
		rows, err := k.table.Scan(ctx, prefix, "", scanPage)
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
		if len(writes) > 0 {
			k.committer.Commit(ctx, nil, writes)
		}
	}
}

func objectivePrefix(objective string) string { return "burn/" + objective + "/" }

func sheetKey(s burn.HourCounts) string {
	return fmt.Sprintf("%s%012d/%s", objectivePrefix(s.Objective), s.Hour, s.Host)
}

func encode(s burn.HourCounts) []byte {
	value, err := msgpack.Marshal(s)
	if err != nil {
		panic("slo: a sheet can't be encoded: " + err.Error())
	}
	return value
}

// replaceOwn puts this host's newest sheets in place of those it last wrote.
func replaceOwn(sheets, own []burn.HourCounts) []burn.HourCounts {
	fresh := map[string]bool{}
	for _, s := range own {
		fresh[sheetKey(s)] = true
	}
	out := append([]burn.HourCounts{}, own...)
	for _, s := range sheets {
		if !fresh[sheetKey(s)] {
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
