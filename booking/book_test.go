package booking

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// rig is two entry hosts over one table; runs counts dispatches.
type rig struct {
	table *table
	a, b  *Registry
	dead  atomic.Bool // whether host a's session is gone
	runs  atomic.Int64
	now   atomic.Int64
}

func newRig(faults ...fault) *rig {
	r := &rig{table: newTable(faults...)}
	store := &objects{}
	book := func(host string) *Registry {
		return New(Options{
			Host: host, Incarnation: host + "-1", Committer: r.table, Reader: r.table, Objects: store,
			Peers:  r,
			Alive:  func(h, _ string) bool { return h != "a" || !r.dead.Load() },
			Window: func() time.Duration { return time.Hour },
			Now:    func() time.Time { return time.UnixMilli(r.now.Load()) },
		})
	}
	r.a, r.b = book("a"), book("b")
	return r
}

// Call is the way to host a.
func (r *rig) Call(ctx context.Context, _ string, _ peer.Method, request, reply any) peer.Result {
	if r.dead.Load() {
		return peer.Result{Kind: outcome.NotRun}
	}
	answer, err := r.a.handleWait(ctx, "b", func(v any) error { *v.(*waitRequest) = request.(waitRequest); return nil })
	if err != nil {
		return peer.Result{Err: err}
	}
	*reply.(*waitReply) = answer.(waitReply)
	return peer.Result{Kind: outcome.Answered}
}

func (r *rig) answer(context.Context) (Response, outcome.Refusal) {
	r.runs.Add(1)
	return Response{Status: http.StatusOK, Body: []byte("booked")}, whole()
}

func ask(body string) Request {
	return Request{Service: "s", Key: "k", Digest: Digest(http.MethodPost, "/", []byte(body))}
}

func (r *rig) do(t *testing.T, b *Registry, want outcome.Kind, reason string) Response {
	t.Helper()
	answer, refusal := b.Do(t.Context(), ask("x"), r.answer)
	if refusal.Kind != want || refusal.Reason != reason {
		t.Fatalf("got %+v, want %v %q", refusal, want, reason)
	}
	return answer
}

func (r *rig) flush(t *testing.T) {
	t.Helper()
	if err := r.a.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func (r *rig) ran(t *testing.T, want int64) {
	t.Helper()
	if got := r.runs.Load(); got != want {
		t.Fatalf("dispatched %d times, want %d", got, want)
	}
}

func TestRetryReplaysOnEveryHost(t *testing.T) {
	r := newRig()
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	for _, b := range []*Registry{r.a, r.b} {
		if got := r.do(t, b, outcome.Answered, ""); string(got.Body) != "booked" {
			t.Errorf("replayed %q", got.Body)
		}
		if _, refusal := b.Do(t.Context(), ask("other"), r.answer); refusal.Reason != ReasonKeyReused {
			t.Errorf("other body: %+v", refusal)
		}
	}
	r.ran(t, 1)
}

func TestLargeAnswerIsKeptAsObject(t *testing.T) {
	r := newRig()
	body := bytes.Repeat([]byte("x"), defaultInlineBody+1)
	_, _ = r.a.Do(t.Context(), ask("x"), func(context.Context) (Response, outcome.Refusal) {
		return Response{Status: 200, Body: body}, whole()
	})
	r.flush(t)
	if n := len(r.table.rows[rowKey(ask("x"))].Value); n > 1000 {
		t.Errorf("row of %d bytes", n)
	}
	if got := r.do(t, r.b, outcome.Answered, ""); !bytes.Equal(got.Body, body) {
		t.Error("body differs")
	}
}

// TestStoreDownAfterRun answers the caller and its retries from memory until
// the outcome is stored.
func TestStoreDownAfterRun(t *testing.T) {
	r := newRig(none, refuse, loseCommit, loseAnswer)
	r.do(t, r.a, outcome.Answered, "")
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	r.do(t, r.b, outcome.Answered, "")
	r.ran(t, 1)
}

// TestNotRunReleasesTheClaim lets a retry run on any host once the first run
// ended as not run, also before its row is gone.
func TestNotRunReleasesTheClaim(t *testing.T) {
	r := newRig()
	r.table.setKeep(true)
	_, refusal := r.a.Do(t.Context(), ask("x"), func(context.Context) (Response, outcome.Refusal) {
		return Response{}, notRun("no slot", time.Second)
	})
	if refusal.Kind != outcome.NotRun {
		t.Fatalf("got %+v", refusal)
	}
	r.do(t, r.a, outcome.NotRun, ReasonStoreUnavailable)
	r.table.setKeep(false)
	r.do(t, r.b, outcome.Answered, "")
	r.flush(t)
	r.do(t, r.a, outcome.Answered, "")
	r.ran(t, 1)
}

// TestRunOutlivesItsCaller keeps the outcome of a request whose caller left.
func TestRunOutlivesItsCaller(t *testing.T) {
	r := newRig()
	started, finish := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, refusal := r.a.Do(ctx, ask("x"), func(ctx context.Context) (Response, outcome.Refusal) {
		close(started)
		select {
		case <-finish:
			return r.answer(ctx)
		case <-ctx.Done():
			return Response{}, unknownOutcome("cancelled", 0)
		}
	})
	if refusal.Kind != outcome.Unknown || refusal.RetryAfter == 0 {
		t.Fatalf("caller that left: %+v", refusal)
	}
	close(finish)
	r.flush(t)
	r.do(t, r.b, outcome.Answered, "")
	r.ran(t, 1)
}

func TestSweep(t *testing.T) {
	r := newRig()
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	sweep := func(mine bool) int {
		n, err := r.a.Sweep(t.Context(), "s", rate.NewLimiter(rate.Inf, 1), func(string) bool { return mine })
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := sweep(true); n != 0 {
		t.Errorf("swept %d young rows", n)
	}
	r.now.Store(time.Hour.Milliseconds() + 1)
	if n := sweep(false); n != 0 {
		t.Errorf("swept %d rows of another host", n)
	}
	if n := sweep(true); n != 1 {
		t.Errorf("swept %d old rows, want 1", n)
	}
}
