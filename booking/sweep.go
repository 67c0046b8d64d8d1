package booking

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fireflygate/fireflygate/infra"
)

// sweepPage is the maximum number of rows per scan and of deletions per commit. Each takes a
// condition and a write of the 100 that a transaction holds.
const sweepPage = 48

// Sweep removes the claims of a service that are older than the window, and
// returns how many it removed. limiter bounds the scans per second. assigned
// reports whether this host is to sweep the service; it is called before each
// page.
func (b *Registry) Sweep(ctx context.Context, service string, limiter *rate.Limiter, assigned func(service string) bool) (removed int, err error) {
	b.pruneUndispatched()
	scope := prefix + service + "/"
	after := ""
	for assigned(service) {
		if err := limiter.Wait(ctx); err != nil {
			return removed, err
		}
		rows, err := b.opt.Reader.Scan(ctx, scope, after, sweepPage)
		if err != nil {
			return removed, errors.Wrap(err, "scan claims")
		}
		removed += b.sweepPage(ctx, rows)
		if len(rows) < sweepPage {
			return removed, nil
		}
		after = rows[len(rows)-1].Key
	}
	return removed, nil
}

// sweepPage deletes the expired rows of one page. If one of them has changed,
// the page is left to the next sweep.
func (b *Registry) sweepPage(ctx context.Context, rows []infra.Row) int {
	var conditions []infra.Condition
	var writes []infra.Write
	for _, r := range rows {
		if !b.expired(r) {
			continue
		}
		conditions = append(conditions, infra.Condition{Key: r.Key, Version: r.Version})
		writes = append(writes, infra.Write{Key: r.Key, Delete: true})
	}
	if len(writes) == 0 || b.opt.Committer.Commit(ctx, conditions, writes).Status != infra.CommitApplied {
		return 0
	}
	return len(writes)
}

// expired reports whether a claim is older than the window.
func (b *Registry) expired(r infra.Row) bool {
	held, err := decodeRow(r.Value)
	if err != nil {
		return false
	}
	return b.opt.Now().Sub(time.UnixMilli(held.AtMS)) > b.opt.Window()
}

// pruneUndispatched deletes the records of abandoned claims that are older than
// the window; a sweep removes their rows.
func (b *Registry) pruneUndispatched() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opt.Now()
	maps.DeleteFunc(b.undispatched, func(_ string, at time.Time) bool {
		return now.Sub(at) > b.opt.Window()
	})
}
