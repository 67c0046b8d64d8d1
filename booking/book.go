package booking

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fireflygate/fireflygate/outcome"
)

// Registry claims keys and keeps outcomes. It is safe for concurrent use.
type Registry struct {
	opt Options

	mu sync.Mutex
	// flights holds this host's claims by row key until their outcome is
	// durable.
	flights map[string]*flight
	// undispatched holds the ids of claims of this process that were never
	// dispatched but whose row may exist, with when they were given up.
	undispatched map[string]time.Time
	// background counts outcomes that are being stored.
	background sync.WaitGroup
}

// New returns a Book.
func New(opt Options) *Registry {
	if opt.InlineBody == 0 {
		opt.InlineBody = defaultInlineBody
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	return &Registry{opt: opt, flights: map[string]*flight{}, undispatched: map[string]time.Time{}}
}

// Do runs the request unless a claim under its key exists, and returns the
// outcome of the one run. The context's deadline bounds the wait, also for the
// store; the run itself goes on without its caller, so that a retry finds its
// outcome. The refusal's kind is Answered when the answer is whole.
func (b *Registry) Do(ctx context.Context, r Request, run Run) (Response, outcome.Refusal) {
	key := rowKey(r)
	f, first := b.join(key, r)
	if !first {
		return wait(ctx, f, r)
	}
	if found, ok := b.claim(ctx, key, f); !ok {
		b.leave(key, f)
		f.settle(found.answer, found.refusal)
		return found.answer, found.refusal
	}
	b.background.Go(func() { b.dispatch(context.WithoutCancel(ctx), key, f, run) })
	return wait(ctx, f, r)
}

// dispatch runs the request and stores its outcome.
func (b *Registry) dispatch(ctx context.Context, key string, f *flight, run Run) {
	answer, refusal := run(ctx)
	if refusal.Kind == outcome.NotRun {
		b.giveUp(f.id)
		b.leave(key, f)
	}
	f.settle(answer, refusal)
	b.store(key, f)
}

// join returns the key's flight on this host, and whether the caller is the
// one to claim it.
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

func (b *Registry) leave(key string, f *flight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flights[key] == f {
		delete(b.flights, key)
	}
}

// wait returns the outcome of a flight of this host.
func wait(ctx context.Context, f *flight, r Request) (Response, outcome.Refusal) {
	if !bytes.Equal(f.digest, r.Digest) {
		return Response{}, notRun(ReasonKeyReused, 0)
	}
	select {
	case <-f.done:
		return f.answer, f.refusal
	case <-ctx.Done():
		return Response{}, unknownOutcome(ReasonInProgress, retrySoon)
	}
}

// Flush waits until every outcome so far is durable, or the context ends.
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
