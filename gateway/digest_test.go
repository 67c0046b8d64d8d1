package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// TestDigestFollowsReplies occupies a peer's only slot between two digests
// with equal counts. The second must still be sent, because the peer's refusal
// reported no free slot in between.
func TestDigestFollowsReplies(t *testing.T) {
	n := peernet.New()
	a, b := newHost(t, n, "a", nil), newHost(t, n, "b", nil)
	began, end := make(chan struct{}, 1), make(chan struct{})
	list := []routing.Endpoint{endpoint(t, "e1", 1, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-end
	})}
	a.SetEndpoints(list)
	b.SetEndpoints(list)
	b.grants.set(ownership.Full, "e1")
	b.SetPeers([]PeerHost{{Name: "a", Zone: "z1"}})
	flushDigests(t, b)
	var first sync.WaitGroup
	first.Go(func() { b.Call(t.Context(), post("x")) })
	<-began
	refused := post("y")
	refused.Deadline = time.Now().Add(100 * time.Millisecond)
	if _, r := a.Call(t.Context(), refused); r.Kind != outcome.NotRun {
		t.Fatalf("request to a full peer: got %+v, want not run", r)
	}
	close(end)
	first.Wait()
	flushDigests(t, b)
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.choosePeer(time.Now(), testService, nil); !ok {
		t.Error("the peer's free slot is not known")
	}
}
