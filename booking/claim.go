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

// existingOutcome is the outcome that is returned when no claim was made.
type existingOutcome struct {
	response Response
	refusal  outcome.Refusal
}

const (
	// maxClaimAttempts bounds how often a claim is repeated after a conflicting
	// row was removed.
	maxClaimAttempts = 3
	// claimTimeout bounds how long a claim is retried while the table refuses
	// it. The caller then gets a refusal with a retry delay.
	claimTimeout = time.Second
)

// errRefused is returned to the retry loop for a refused claim.
var errRefused = errors.New("booking: claim refused")

// claim makes the flight's claim durable. It returns true if the caller must
// dispatch the request, and the existing outcome otherwise.
func (b *Registry) claim(ctx context.Context, key string, f *flight) (existingOutcome, bool) {
	value, err := b.claimRow(f).encode()
	if err != nil {
		panic(err) // the row has only fields that can be encoded
	}
	for range maxClaimAttempts {
		res := b.claimOnce(ctx, key, f, value)
		switch res.Status {
		case infra.CommitApplied:
			f.version = res.Version
			return existingOutcome{}, true
		case infra.CommitConflict:
			again, found := b.resolve(ctx, key, f, res.Conflicts)
			if !again {
				return found, false
			}
		default:
			return existingOutcome{refusal: notRun(ReasonStoreUnavailable, defaultRetryAfter)}, false
		}
	}
	return existingOutcome{refusal: notRun(ReasonInProgress, defaultRetryAfter)}, false
}

// claimOnce commits the claim, and retries up to claimTimeout while the table
// refuses it. If the result of a commit is unknown, it reads the row.
func (b *Registry) claimOnce(ctx context.Context, key string, f *flight, value []byte) infra.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	attempt := func() (infra.CommitResult, error) {
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
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = 20 * time.Millisecond
	res, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(interval))
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

// readBack determines the result of a claim whose commit got no answer. If the
// row cannot be read or does not exist yet, the claim is abandoned: nothing has
// been dispatched, so that a row that appears later may be removed.
func (b *Registry) readBack(ctx context.Context, key string, f *flight) infra.CommitResult {
	rows, err := b.opt.Reader.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		b.markUndispatched(f.id)
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	held, err := decodeRow(rows[0].Value)
	if err == nil && held.ID == f.id {
		return infra.CommitResult{Status: infra.CommitApplied, Version: rows[0].Version}
	}
	return infra.CommitResult{Status: infra.CommitConflict, Conflicts: rows}
}

// markUndispatched records that the request of the claim with the ID did not run
// and will not run under this claim.
func (b *Registry) markUndispatched(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.undispatched[id] = b.opt.Now()
}

// resolve handles a conflict of a claim with an existing row. It returns again
// if the row has been removed and the claim may be repeated.
func (b *Registry) resolve(ctx context.Context, key string, f *flight, conflicts []infra.Row) (again bool, found existingOutcome) {
	current, ok := rowOf(conflicts, key)
	if !ok {
		return true, existingOutcome{}
	}
	held, err := decodeRow(current.Value)
	if err != nil {
		return false, existingOutcome{refusal: unknownOutcome(ReasonUnreadable, 0)}
	}
	if held.ID == f.id {
		// An earlier attempt of this claim took effect late.
		return b.remove(ctx, key, current.Version), existingOutcome{refusal: notRun(ReasonStoreUnavailable, defaultRetryAfter)}
	}
	if !bytes.Equal(held.Digest, f.digest) {
		return false, existingOutcome{refusal: notRun(ReasonKeyReused, 0)}
	}
	if held.State != claimed {
		return false, b.replay(ctx, held)
	}
	found, neverRan := existingOutcome{}, b.isUndispatched(held)
	if !neverRan {
		found, neverRan = b.askOrReread(ctx, key, held, current.Version)
	}
	if neverRan {
		return b.remove(ctx, key, current.Version), existingOutcome{refusal: notRun(ReasonStoreUnavailable, defaultRetryAfter)}
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

// remove deletes the row of a claim whose request did not run, if the row still
// has the version. It reports whether the claim is gone: another host, such as the
// claimant, may have deleted its row since it was read.
func (b *Registry) remove(ctx context.Context, key string, version uint64) bool {
	conditions := []infra.Condition{{Key: key, Version: version}}
	res := b.opt.Committer.Commit(ctx, conditions, []infra.Write{{Key: key, Delete: true}})
	return res.Status == infra.CommitApplied || res.Status == infra.CommitConflict
}
