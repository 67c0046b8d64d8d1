package booking

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// harness has two entry hosts that share a table.
type harness struct {
	table *table
	a, b  *Registry
	dead  atomic.Bool // whether host a's session has expired
	runs  atomic.Int64
	now   atomic.Int64
	// beforeReply, if set, is called before host a replies to a peer.
	beforeReply func()
}

func newHarness(faults ...fault) *harness {
	r := &harness{table: newTable(faults...)}
	store := &objects{}
	newRegistry := func(host string) *Registry {
		return New(Options{
			Host: host, Incarnation: host + "-1", Committer: r.table, Reader: r.table, Objects: store,
			Peers: r,
			// Without the version of its row a claimant isn't told from later processes.
			Alive:  func(h, _ string, version uint64) bool { return h != "a" || !r.dead.Load() || version == 0 },
			Window: func() time.Duration { return time.Hour },
			Now:    func() time.Time { return time.UnixMilli(r.now.Load()) },
		})
	}
	r.a, r.b = newRegistry("a"), newRegistry("b")
	return r
}

// Call implements peer.Transport for calls to host a.
func (r *harness) Call(ctx context.Context, _ string, _ peer.Method, request, reply any) peer.Result {
	if r.dead.Load() {
		return peer.Result{Kind: outcome.NotRun}
	}
	if r.beforeReply != nil {
		r.beforeReply()
	}
	response, err := r.a.handleWait(ctx, "b", func(v any) error { *v.(*waitRequest) = request.(waitRequest); return nil })
	if err != nil {
		return peer.Result{Err: err}
	}
	*reply.(*waitReply) = response.(waitReply)
	return peer.Result{Kind: outcome.Answered}
}

func (r *harness) response(context.Context) (Response, outcome.Refusal) {
	r.runs.Add(1)
	return Response{Status: http.StatusOK, Body: []byte("booked")}, answeredRefusal()
}

func newRequest(body string) Request {
	return Request{Service: "s", Key: "k", Digest: Digest(http.MethodPost, "/", []byte(body))}
}

func (r *harness) do(t *testing.T, b *Registry, want outcome.Kind, reason string) Response {
	t.Helper()
	response, refusal := b.Do(t.Context(), newRequest("x"), r.response)
	if refusal.Kind != want || refusal.Reason != reason {
		t.Fatalf("got refusal %+v, want kind %v, reason %q", refusal, want, reason)
	}
	return response
}

func (r *harness) flush(t *testing.T) {
	t.Helper()
	for _, b := range []*Registry{r.a, r.b} {
		if err := b.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func (r *harness) wantRuns(t *testing.T, want int64) {
	t.Helper()
	if got := r.runs.Load(); got != want {
		t.Fatalf("dispatched %d times, want %d", got, want)
	}
}

func TestRetryReplaysOnEveryHost(t *testing.T) {
	r := newHarness()
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	for _, b := range []*Registry{r.a, r.b} {
		if got := r.do(t, b, outcome.Answered, ""); string(got.Body) != "booked" {
			t.Errorf("replayed body %q, want \"booked\"", got.Body)
		}
		if _, refusal := b.Do(t.Context(), newRequest("other"), r.response); refusal.Reason != ReasonKeyReused {
			t.Errorf("other request body under the same key: got refusal %+v, want it refused as a reused key", refusal)
		}
	}
	r.wantRuns(t, 1)
}

func TestLargeResponseIsStoredAsObject(t *testing.T) {
	r := newHarness()
	body := bytes.Repeat([]byte("x"), defaultInlineBody+1)
	_, _ = r.a.Do(t.Context(), newRequest("x"), func(context.Context) (Response, outcome.Refusal) {
		return Response{Status: 200, Body: body}, answeredRefusal()
	})
	r.flush(t)
	if n := len(r.table.rows[rowKey(newRequest("x"))].Value); n > 1000 {
		t.Errorf("row has %d bytes, want at most 1000 as the body belongs in the object store", n)
	}
	if got := r.do(t, r.b, outcome.Answered, ""); !bytes.Equal(got.Body, body) {
		t.Error("replayed body differs from the original")
	}
}

// TestStoreDownAfterRun checks that the caller and its retries are answered
// from memory while the outcome cannot be stored.
func TestStoreDownAfterRun(t *testing.T) {
	r := newHarness(noFault, refuse, loseCommit, loseAnswer)
	r.do(t, r.a, outcome.Answered, "")
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	r.do(t, r.b, outcome.Answered, "")
	r.wantRuns(t, 1)
}

// TestNotRunReleasesTheClaim checks that a retry may run on any host once the
// first attempt has ended as not run, and that it is refused while the row
// cannot be deleted.
func TestNotRunReleasesTheClaim(t *testing.T) {
	r := newHarness()
	r.table.setRejectDeletes(true)
	_, refusal := r.a.Do(t.Context(), newRequest("x"), func(context.Context) (Response, outcome.Refusal) {
		return Response{}, notRun("no slot", time.Second)
	})
	if refusal.Kind != outcome.NotRun {
		t.Fatalf("first attempt: got refusal %+v, want not run", refusal)
	}
	r.do(t, r.a, outcome.NotRun, ReasonStoreUnavailable)
	r.table.setRejectDeletes(false)
	r.do(t, r.b, outcome.Answered, "")
	r.flush(t)
	r.do(t, r.a, outcome.Answered, "")
	r.wantRuns(t, 1)
}

// TestRetryWhileClaimantReleases checks that a retry runs if the claimant removes its
// claim, of a request that didn't run, while the retrying host looks into it.
func TestRetryWhileClaimantReleases(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*testing.T, *harness)
	}{
		{"before the claimant replies", func(t *testing.T, r *harness) { r.beforeReply = func() { r.flush(t) } }},
		{"before the retrying host does", func(_ *testing.T, r *harness) { r.table.setDeleteTwice(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { retryWhileClaimantReleases(t, c.set) })
		})
	}
}

func retryWhileClaimantReleases(t *testing.T, set func(*testing.T, *harness)) {
	t.Helper()
	r := newHarness()
	defer r.flush(t)
	r.table.setRejectDeletes(true)
	_, _ = r.a.Do(t.Context(), newRequest("x"), func(context.Context) (Response, outcome.Refusal) {
		return Response{}, notRun("no slot", time.Second)
	})
	synctest.Wait() // until host a waits to try its deletion again
	r.table.setRejectDeletes(false)
	set(t, r)
	r.do(t, r.b, outcome.Answered, "")
	r.flush(t)
	r.do(t, r.a, outcome.Answered, "")
	r.wantRuns(t, 1)
}

// TestRunOutlivesItsCaller checks that the outcome is stored if the caller
// leaves during the run.
func TestRunOutlivesItsCaller(t *testing.T) {
	r := newHarness()
	started, finish := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, refusal := r.a.Do(ctx, newRequest("x"), func(ctx context.Context) (Response, outcome.Refusal) {
		close(started)
		select {
		case <-finish:
			return r.response(ctx)
		case <-ctx.Done():
			return Response{}, unknownOutcome("cancelled", 0)
		}
	})
	if refusal.Kind != outcome.Unknown || refusal.RetryAfter == 0 {
		t.Fatalf("caller that left: got refusal %+v, want unknown with a retry delay", refusal)
	}
	close(finish)
	r.flush(t)
	r.do(t, r.b, outcome.Answered, "")
	r.wantRuns(t, 1)
}

func TestSweep(t *testing.T) {
	r := newHarness()
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	sweep := func(assigned bool) int {
		n, err := r.a.Sweep(t.Context(), "s", rate.NewLimiter(rate.Inf, 1), func(string) bool { return assigned })
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := sweep(true); n != 0 {
		t.Errorf("swept %d rows within the window, want 0", n)
	}
	r.now.Store(time.Hour.Milliseconds() + 1)
	if n := sweep(false); n != 0 {
		t.Errorf("swept %d rows of a service swept by another host, want 0", n)
	}
	if n := sweep(true); n != 1 {
		t.Errorf("swept %d expired rows, want 1", n)
	}
}

// TestSweepOfManyRows guards against expired rows that are never deleted, since those of one page
// are more than the table takes in one transaction.
func TestSweepOfManyRows(t *testing.T) {
	const rows = 250
	r := newHarness()
	r.do(t, r.a, outcome.Answered, "")
	r.flush(t)
	for key, row := range maps.Clone(r.table.rows) {
		for i := range rows - 1 {
			row.Key = fmt.Sprintf("%s%03d", key, i)
			r.table.rows[row.Key] = row
		}
	}
	r.now.Store(time.Hour.Milliseconds() + 1)
	n, err := r.a.Sweep(t.Context(), "s", rate.NewLimiter(rate.Inf, 1), func(string) bool { return true })
	if err != nil || n != rows {
		t.Errorf("swept %d of %d expired rows, error %v", n, rows, err)
	}
}
