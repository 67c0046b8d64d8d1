package booking

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fireflygate/fireflygate/outcome"
)

// Registry claims idempotency keys and stores the outcomes of their requests.
// It is safe for concurrent use.
type Registry struct {
	opt Options

	mu sync.Mutex
	// flights holds this host's claims by row key, until their outcome is
	// durable.
	flights map[string]*flight
	// undispatched holds the IDs of this process's claims whose request did not
	// run, because the claim was abandoned or the request ended as not run, but
	// whose row may exist; with the time at which that was known.
	undispatched map[string]time.Time
	// background counts the requests that are running or whose outcome is being
	// stored.
	background sync.WaitGroup
}

// New returns a Registry.
func New(opt Options) *Registry {
	if opt.InlineBody == 0 {
		opt.InlineBody = defaultInlineBody
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	return &Registry{opt: opt, flights: map[string]*flight{}, undispatched: map[string]time.Time{}}
}

// Do runs the request unless its key is already claimed, and returns the
// outcome of the only run. The context's deadline bounds the wait for the claim
// and for the outcome. The run continues if its caller leaves, so that a retry
// gets its outcome. The Kind of the refusal is Answered if the response is
// complete.
func (b *Registry) Do(ctx context.Context, r Request, run Run) (Response, outcome.Refusal) {
	key := rowKey(r)
	f, first := b.join(key, r)
	if !first {
		return wait(ctx, f, r)
	}
	if found, ok := b.claim(ctx, key, f); !ok {
		b.removeFlight(key, f)
		f.settle(found.response, found.refusal)
		return found.response, found.refusal
	}
	b.background.Go(func() { b.dispatch(context.WithoutCancel(ctx), key, f, run) })
	return wait(ctx, f, r)
}

// dispatch runs the request and stores its outcome.
func (b *Registry) dispatch(ctx context.Context, key string, f *flight, run Run) {
	response, refusal := run(ctx)
	if refusal.Kind == outcome.NotRun {
		b.markUndispatched(f.id)
		b.removeFlight(key, f)
	}
	f.settle(response, refusal)
	b.store(key, f)
}

// join returns the key's flight on this host. If there is none, it adds one and
// returns true: the caller must then claim the key.
func (b *Registry) join(key string, r Request) (*flight, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.flights[key]; f != nil {
		return f, false
	}
	f := &flight{digest: r.Digest, id: uuid.NewString(), done: make(chan struct{})}
	b.flights[key] = f
	return f, true
}

func (b *Registry) removeFlight(key string, f *flight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flights[key] == f {
		delete(b.flights, key)
	}
}

// wait waits for the outcome of a flight on this host.
func wait(ctx context.Context, f *flight, r Request) (Response, outcome.Refusal) {
	if !bytes.Equal(f.digest, r.Digest) {
		return Response{}, notRun(ReasonKeyReused, 0)
	}
	select {
	case <-f.done:
		return f.response, f.refusal
	case <-ctx.Done():
		return Response{}, unknownOutcome(ReasonInProgress, defaultRetryAfter)
	}
}

// Flush waits until all outcomes so far are durable, or returns the context's
// error.
func (b *Registry) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		b.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
