package control

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
)

const (
	// scanPageSize is the number of rows per scan, the table service's maximum.
	scanPageSize = 500
	// jobsPerLoadCheck is the number of jobs restored between two checks whether a
	// stronger host should own the domain: some 20 ms of a weak host's processor.
	jobsPerLoadCheck = 32
	// loadStallTimeout bounds the time in which loading the state makes no progress. The
	// load itself isn't bounded: a large domain on a slow table service would otherwise
	// have no owner at all.
	loadStallTimeout = 8 * time.Second
)

// errLoadStalled is the cause of the end of a load that makes no progress.
var errLoadStalled = errors.New("loading the state makes no progress")

// load loads the durable state of earlier owners. It stops with errLoadSkipped if it
// finds that the domain should be handed over instead.
func (o *Owner) load() error {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	o.recordLoadProgress()
	go o.endStalledLoad(ctx, cancel)
	rows, err := o.scanAll(ctx, dispatch.ProgressPrefix, dispatch.JobPrefix, dispatch.RosterPrefix, dispatch.EndsPrefix, dispatch.PagesPrefix)
	if err != nil {
		return err
	}
	jobs, roster := rows[1], rows[2]
	stored := storedJobs{progress: byJob(rows[0], dispatch.ProgressPrefix), ends: byJob(rows[3], dispatch.EndsPrefix), pages: pagesByJob(rows[4])}
	for i, row := range jobs {
		if i%jobsPerLoadCheck == 0 {
			o.recordLoadProgress()
			if err := o.checkLoad(); err != nil {
				return err
			}
		}
		o.restoreJob(row, &stored)
	}
	for id, pages := range stored.pages { // of no job
		o.state.RestorePages(id, slices.Collect(maps.Keys(pages)))
	}
	if err := o.loadEstimates(ctx); err != nil {
		return err
	}
	workers, err := o.restoreRoster(roster)
	if err != nil {
		return err
	}
	event.StateLoaded.Log(o.opts.Log, slog.Any("epoch", o.epoch), slog.Any("jobs", len(jobs)), slog.Any("workers", workers), slog.Int("unleased", len(o.committer.Record().Unleased)), slog.Any("ms", time.Since(start).Milliseconds()))
	return nil
}

// recordLoadProgress records that the load goes on.
func (o *Owner) recordLoadProgress() { o.loadedAt.Store(int64(boottime())) }

// endStalledLoad ends a load that makes no progress. It returns when the load has ended.
func (o *Owner) endStalledLoad(ctx context.Context, cancel context.CancelCauseFunc) {
	t := time.NewTicker(loadStallTimeout / 8)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if boottime()-time.Duration(o.loadedAt.Load()) >= loadStallTimeout {
			cancel(errLoadStalled)
			return
		}
	}
}

// byJob returns rows by the IDs of their jobs, which follow the prefix of their keys.
func byJob(rows []infra.Row, prefix string) map[string]infra.Row {
	found := make(map[string]infra.Row, len(rows))
	for _, row := range rows {
		found[strings.TrimPrefix(row.Key, prefix)] = row
	}
	return found
}

// storedJobs holds rows about jobs by their IDs, pages of progress also by their numbers.
type storedJobs struct {
	progress, ends map[string]infra.Row
	pages          map[string]map[int][]byte
}

// pagesByJob returns the values of pages of progress by their jobs and numbers.
func pagesByJob(rows []infra.Row) map[string]map[int][]byte {
	found := map[string]map[int][]byte{}
	for _, row := range rows {
		id, page, ok := dispatch.ParsePageKey(row.Key)
		if !ok {
			continue
		}
		if found[id] == nil {
			found[id] = map[int][]byte{}
		}
		found[id][page] = row.Value
	}
	return found
}

// restoreJob restores a job from its rows. Jobs whose rows can't be decoded are
// skipped; ends of their runs are kept for a release that can.
func (o *Owner) restoreJob(row infra.Row, stored *storedJobs) {
	id := strings.TrimPrefix(row.Key, dispatch.JobPrefix)
	recorded, pages := o.decodeEnds(stored.ends[id]), stored.pages[id]
	delete(stored.pages, id)
	job, err := dispatch.DecodeJobRow(row.Value)
	var p *dispatch.ProgressRow
	if found, ok := stored.progress[id]; ok && err == nil {
		p, err = dispatch.DecodeProgress(&job.Job, found.Value, pages)
	}
	if err != nil {
		event.RowUnreadable.Log(o.opts.Log, slog.Any("key", row.Key), slog.Any("err", err))
		o.state.SkipJob(id, recorded)
		return
	}
	now := time.Now()
	o.state.RestoreJob(now, now.UnixMilli(), job, p)
	if !p.Paged() {
		o.state.RestorePages(id, slices.Collect(maps.Keys(pages)))
	}
	if recorded != nil {
		o.state.RestoreEnds(now, id, recorded)
	}
}

// decodeEnds decodes a row of ends, nil if there is none or it can't be decoded.
func (o *Owner) decodeEnds(row infra.Row) *dispatch.EndsRow {
	if row.Key == "" {
		return nil
	}
	ends, err := dispatch.DecodeEndsRow(row.Value)
	if err != nil {
		event.RowUnreadable.Log(o.opts.Log, slog.String("key", row.Key), slog.Any("err", err))
		return nil
	}
	return ends
}

// restoreRoster restores the workers on which runs may be alive from their rows, and
// returns their number.
func (o *Owner) restoreRoster(rows []infra.Row) (int, error) {
	workers := 0
	for _, row := range rows {
		var roster dispatch.RosterRow
		if err := msgpack.Unmarshal(row.Value, &roster); err != nil {
			return 0, errors.Wrapf(err, "decode %s", row.Key)
		}
		for _, w := range roster.Workers {
			o.state.InheritWorker(w, o.rosterEpochsKnown)
		}
		workers += len(roster.Workers)
	}
	o.state.InheritUnleased(o.inheritedUnleased())
	for _, b := range o.unbounded {
		if b.Workers == 0 {
			o.earlier.LeftRoster(b.Epoch, workers)
		}
	}
	return workers, nil
}

// loadEstimates loads the interference estimates. A row that can't be decoded
// is skipped; the estimates are then learned again.
func (o *Owner) loadEstimates(ctx context.Context) error {
	rows, err := o.opts.Table.Get(ctx, dispatch.EstimatesKey)
	if err != nil {
		return errors.Wrap(err, "read estimates")
	}
	if len(rows) == 0 || rows[0].Version == 0 {
		return nil
	}
	if err := o.state.ImportEstimates(rows[0].Value); err != nil {
		event.RowUnreadable.Log(o.opts.Log, slog.String("key", dispatch.EstimatesKey), slog.Any("err", err))
	}
	return nil
}

// scanAll reads all rows with each of the key prefixes, at the same time: a large domain
// has many pages, and callers wait meanwhile. Earlier owners can't change the rows any
// more.
func (o *Owner) scanAll(ctx context.Context, prefixes ...string) ([][]infra.Row, error) {
	all, errs := make([][]infra.Row, len(prefixes)), make([]error, len(prefixes))
	var pending sync.WaitGroup
	for i, prefix := range prefixes {
		pending.Go(func() { all[i], errs[i] = o.scan(ctx, prefix) })
	}
	pending.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// scan reads all rows with the key prefix.
func (o *Owner) scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	var all []infra.Row
	after := ""
	for {
		rows, err := o.opts.Table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, errors.Wrapf(errors.CombineErrors(err, context.Cause(ctx)), "scan %s", prefix)
		}
		all = append(all, rows...)
		o.recordLoadProgress()
		if err := o.checkLoad(); err != nil {
			return nil, err
		}
		if len(rows) < scanPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
