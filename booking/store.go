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

// storeTimeout bounds one attempt to store an outcome.
const storeTimeout = 5 * time.Second

// storeRetryInterval is the first interval between attempts; it grows
// exponentially.
const storeRetryInterval = 100 * time.Millisecond

// errNotStored is returned to the retry loop for a failed attempt.
var errNotStored = errors.New("booking: outcome not stored")

// store makes the outcome of a flight durable, or removes its claim if the
// request did not run, and retries until the result is known. Meanwhile retries
// of the request are answered from memory. After the booking window it gives up
// and drops the flight, so that memory use stays bounded.
func (b *Registry) store(key string, f *flight) {
	object := b.objectName(key, f)
	attempt := func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		return struct{}{}, b.storeOnce(ctx, key, f, object)
	}
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = storeRetryInterval
	_, err := backoff.Retry(context.Background(), attempt, backoff.WithBackOff(interval), backoff.WithMaxElapsedTime(b.opt.Window()))
	if err != nil {
		b.removeFlight(key, f)
		return
	}
	b.dropFlight(key, f)
}

// objectName returns the key of the object for a body too large for the row;
// empty if the body fits.
func (b *Registry) objectName(key string, f *flight) string {
	if len(f.response.Body) <= b.opt.InlineBody {
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
	conditions := []infra.Condition{{Key: key, Version: f.version}}
	switch b.opt.Committer.Commit(ctx, conditions, []infra.Write{write}).Status {
	case infra.CommitApplied, infra.CommitConflict:
		// No other process writes the row of a live claim. A conflict means
		// that an earlier attempt took effect, or that the row was swept.
		return nil
	default:
		return errNotStored
	}
}

// outcomeRow returns the encoded row of the outcome, after storing a large body
// as an object.
func (b *Registry) outcomeRow(ctx context.Context, f *flight, object string) ([]byte, error) {
	r := b.claimRow(f)
	r.State = stateOf(f.refusal.Kind)
	if r.State == answered {
		stored := f.response
		if object != "" {
			if err := b.opt.Objects.Put(ctx, object, stored.Body); err != nil {
				return nil, errors.Wrap(err, "put response body")
			}
			stored.Body = nil
		}
		r.Answer = &stored
		r.Object = object
	}
	return r.encode()
}

// dropFlight removes the flight once its outcome is stored in the row or its row
// is deleted. The claim then needs no entry in undispatched.
func (b *Registry) dropFlight(key string, f *flight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flights[key] == f {
		delete(b.flights, key)
	}
	delete(b.undispatched, f.id)
}
