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

// TestDigestFollowsReplies fills a peer between two digests that say the same.
// Its refusal is the newest that the first host heard: it must be told again.
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
	b.shares.set(ownership.Full, "e1")
	b.SetPeers([]PeerHost{{Name: "a", Zone: "z1"}})
	tellPeers(t, b)
	var first sync.WaitGroup
	first.Go(func() { b.Call(t.Context(), post("x")) })
	<-began
	refused := post("y")
	refused.Deadline = time.Now().Add(100 * time.Millisecond)
	if _, r := a.Call(t.Context(), refused); r.Kind != outcome.NotRun {
		t.Fatalf("%+v", r)
	}
	close(end)
	first.Wait()
	tellPeers(t, b)
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.choosePeer(time.Now(), svc, nil); !ok {
		t.Error("the peer's free slot is not known")
	}
}
