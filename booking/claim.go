package booking

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
)

// settled is an outcome found instead of a claim made.
type settled struct {
	answer  Response
	refusal outcome.Refusal
}

const (
	// claimTries bounds how often a claim is tried again after a row in its
	// way was removed.
	claimTries = 3
	// claimPatience bounds how long a claim waits for a store that refuses.
	// Its caller is then told when to come back.
	claimPatience = time.Second
)

// errRefused makes a refused claim be tried again.
var errRefused = errors.New("booking: claim refused")

// claim makes the flight's claim durable. It returns true when the caller must
// dispatch, and what is known of the key otherwise.
func (b *Registry) claim(ctx context.Context, key string, f *flight) (settled, bool) {
	value, err := b.claimRow(f).encode()
	if err != nil {
		panic(err) // the row holds plain fields only
	}
	for range claimTries {
		res := b.claimOnce(ctx, key, f, value)
		switch res.Status {
		case infra.CommitApplied:
			f.version = res.Version
			return settled{}, true
		case infra.CommitConflict:
			again, found := b.resolve(ctx, key, f, res.Conflicts)
			if !again {
				return found, false
			}
		default:
			return settled{refusal: notRun(ReasonStoreUnavailable, retrySoon)}, false
		}
	}
	return settled{refusal: notRun(ReasonInProgress, retrySoon)}, false
}

// claimOnce commits the claim, and waits a bounded time for a store that
// refuses to take it.
func (b *Registry) claimOnce(ctx context.Context, key string, f *flight, value []byte) infra.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, claimPatience)
	defer cancel()
	try := func() (infra.CommitResult, error) {
		res := b.opt.Committer.Commit(ctx, []infra.Condition{{Key: key}}, []infra.Write{{Key: key, Value: value}})
		switch res.Status {
		case infra.CommitUnknown:
			return b.readBack(ctx, key, f), nil
		case infra.CommitNotApplied:
			return res, errRefused
		default:
			return res, nil
		}
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	res, err := backoff.Retry(ctx, try, backoff.WithBackOff(pause))
	if err != nil {
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	return res
}

func (b *Registry) claimRow(f *flight) row {
	return row{
		Digest:      f.digest,
		Host:        b.opt.Host,
		Incarnation: b.opt.Incarnation,
		ID:          f.id,
		AtMS:        b.opt.Now().UnixMilli(),
	}
}

// readBack settles a claim whose commit's answer was lost. If the row can't
// be read, or is not there yet, the claim is given up: nothing was dispatched,
// and a row that appears later is known to be free to remove.
func (b *Registry) readBack(ctx context.Context, key string, f *flight) infra.CommitResult {
	rows, err := b.opt.Reader.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		b.giveUp(f.id)
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	held, err := decodeRow(rows[0].Value)
	if err == nil && held.ID == f.id {
		return infra.CommitResult{Status: infra.CommitApplied, Version: rows[0].Version}
	}
	return infra.CommitResult{Status: infra.CommitConflict, Conflicts: rows}
}

// giveUp notes that the claim with the id will never be dispatched.
func (b *Registry) giveUp(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.undispatched[id] = b.opt.Now()
}

// resolve decides what the row in a claim's way means. It returns again when
// the row is gone and the claim may be tried once more.
func (b *Registry) resolve(ctx context.Context, key string, f *flight, conflicts []infra.Row) (again bool, found settled) {
	current, ok := rowOf(conflicts, key)
	if !ok {
		return true, settled{}
	}
	held, err := decodeRow(current.Value)
	if err != nil {
		return false, settled{refusal: unknownOutcome(ReasonUnreadable, 0)}
	}
	if held.ID == f.id {
		// An earlier try of this claim took effect late.
		return b.remove(ctx, key, current.Version), settled{refusal: notRun(ReasonStoreUnavailable, retrySoon)}
	}
	if !bytes.Equal(held.Digest, f.digest) {
		return false, settled{refusal: notRun(ReasonKeyReused, 0)}
	}
	if held.State != claimed {
		return false, b.replay(ctx, held)
	}
	found, neverRan := settled{}, b.isUndispatched(held)
	if !neverRan {
		found, neverRan = b.claimedElsewhere(ctx, key, held)
	}
	if neverRan {
		return b.remove(ctx, key, current.Version), settled{refusal: notRun(ReasonStoreUnavailable, retrySoon)}
	}
	return false, found
}

func rowOf(rows []infra.Row, key string) (infra.Row, bool) {
	for _, r := range rows {
		if r.Key == key && r.Version != 0 {
			return r, true
		}
	}
	return infra.Row{}, false
}

func (b *Registry) isUndispatched(held row) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.undispatched[held.ID]
	return ok
}

// remove deletes a claim that was never dispatched, on its own version.
func (b *Registry) remove(ctx context.Context, key string, version uint64) bool {
	conds := []infra.Condition{{Key: key, Version: version}}
	res := b.opt.Committer.Commit(ctx, conds, []infra.Write{{Key: key, Delete: true}})
	return res.Status == infra.CommitApplied
}
