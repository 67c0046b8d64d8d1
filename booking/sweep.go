package booking

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fireflygate/fireflygate/infra"
)

// sweepPage is how many rows one scan reads and one commit deletes at most.
const sweepPage = 100

// Sweep removes the claims of a service older than the window. The pace
// bounds scans per second, so that the store's capacity stays for traffic;
// mine says which services this host sweeps now, and is asked before each page.
func (b *Registry) Sweep(ctx context.Context, service string, pace *rate.Limiter, mine func(service string) bool) (removed int, err error) {
	b.pruneUndispatched()
	scope := prefix + service + "/"
	after := ""
	for mine(service) {
		if err := pace.Wait(ctx); err != nil {
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

// sweepPage deletes the old rows of one page; a row that changed meanwhile
// makes the page wait for the next sweep.
func (b *Registry) sweepPage(ctx context.Context, rows []infra.Row) int {
	var conds []infra.Condition
	var writes []infra.Write
	for _, r := range rows {
		if !b.old(r) {
			continue
		}
		conds = append(conds, infra.Condition{Key: r.Key, Version: r.Version})
		writes = append(writes, infra.Write{Key: r.Key, Delete: true})
	}
	if len(writes) == 0 || b.opt.Committer.Commit(ctx, conds, writes).Status != infra.CommitApplied {
		return 0
	}
	return len(writes)
}

// old reports whether a claim is past the window.
func (b *Registry) old(r infra.Row) bool {
	held, err := decodeRow(r.Value)
	if err != nil {
		return false
	}
	return b.opt.Now().Sub(time.UnixMilli(held.AtMS)) > b.opt.Window()
}

// pruneUndispatched forgets given-up claims whose row would be swept by now.
func (b *Registry) pruneUndispatched() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opt.Now()
	maps.DeleteFunc(b.undispatched, func(_ string, at time.Time) bool {
		return now.Sub(at) > b.opt.Window()
	})
}
