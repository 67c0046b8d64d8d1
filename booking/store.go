package booking

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
)

// storeTimeout bounds one try to store an outcome.
const storeTimeout = 5 * time.Second

// storePause is the first pause between tries; it grows while the store is
// down.
const storePause = 100 * time.Millisecond

// errNotStored makes a try be repeated.
var errNotStored = errors.New("booking: outcome not stored")

// store makes the outcome of a flight durable, or removes its claim when the
// request did not run, and tries until it knows that it did. Until then
// retries of the key are answered from memory. After the booking window the
// claim is kept no longer: with the store away for so long memory would only
// grow, and callers no longer ask.
func (b *Registry) store(key string, f *flight) {
	object := b.objectName(key, f)
	try := func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		return struct{}{}, b.storeOnce(ctx, key, f, object)
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = storePause
	_, err := backoff.Retry(context.Background(), try, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(b.opt.Window()))
	if err != nil {
		b.leave(key, f)
		return
	}
	b.forget(key, f)
}

// objectName returns the name of the object for a body too large for the row,
// or nothing.
func (b *Registry) objectName(key string, f *flight) string {
	if len(f.answer.Body) <= b.opt.InlineBody {
		return ""
	}
	return "booking/" + hex.EncodeToString([]byte(key)) + "/" + f.id
}

func (b *Registry) storeOnce(ctx context.Context, key string, f *flight, object string) error {
	write := infra.Write{Key: key, Delete: true}
	if f.refusal.Kind != outcome.NotRun {
		value, err := b.outcomeRow(ctx, f, object)
		if err != nil {
			return err
		}
		write = infra.Write{Key: key, Value: value}
	}
	conds := []infra.Condition{{Key: key, Version: f.version}}
	switch b.opt.Committer.Commit(ctx, conds, []infra.Write{write}).Status {
	case infra.CommitApplied, infra.CommitConflict:
		// Nobody else writes a live claim's row, so a conflict means that
		// an earlier try took effect, or that the row was swept as too old.
		return nil
	default:
		return errNotStored
	}
}

// outcomeRow returns the row that keeps the outcome, after its body was put
// into the object store if it is large.
func (b *Registry) outcomeRow(ctx context.Context, f *flight, object string) ([]byte, error) {
	r := b.claimRow(f)
	r.State = stateOf(f.refusal.Kind)
	if r.State == answered {
		kept := f.answer
		if object != "" {
			if err := b.opt.Objects.Put(ctx, object, kept.Body); err != nil {
				return nil, errors.Wrap(err, "put answer")
			}
			kept.Body = nil
		}
		r.Answer = &kept
		r.Object = object
	}
	return r.encode()
}

// forget drops the flight, since its row now tells all.
func (b *Registry) forget(key string, f *flight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flights[key] == f {
		delete(b.flights, key)
	}
	delete(b.undispatched, f.id)
}
