package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/peer"
)

// fakeHolder has a configuration in force, which it takes without validation.
type fakeHolder struct {
	mu      sync.Mutex
	current configstore.Offer
}

// Version implements Holder.
func (h *fakeHolder) Version() (uint64, bool) {
	o, ok := h.Offer()
	return o.Head.Version, ok
}

// Offer implements Holder.
func (h *fakeHolder) Offer() (configstore.Offer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, true
}

// Valid implements Holder.
func (h *fakeHolder) Valid(configstore.Offer) bool { return true }

// ApplyIfNewer implements Holder.
func (h *fakeHolder) ApplyIfNewer(o configstore.Offer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Head.Version <= h.current.Head.Version {
		return false
	}
	h.current = o
	return true
}

// NeedsPeers implements Holder.
func (h *fakeHolder) NeedsPeers() bool { return true }

// earlierRelease is a peer of a release that puts each version into force as soon as it
// has it, and doesn't tell more than that version.
type earlierRelease struct {
	mu      sync.Mutex
	version uint64
	offers  []uint64
}

// earlierMessage is what such a peer sends and reads.
type earlierMessage struct {
	Version uint64 `msgpack:"v"`
	Known   bool   `msgpack:"k,omitempty"`
	Fetches bool   `msgpack:"f,omitempty"`
}

func (p *earlierRelease) register(mux peer.Mux) {
	answer := func() (any, error) { return earlierMessage{Version: p.version, Known: true}, nil }
	mux.Handle(methodVersion, func(context.Context, string, func(any) error) (any, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return answer()
	})
	mux.Handle(methodOffer, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var m offerMessage
		if err := decode(&m); err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.version = max(p.version, m.Head.Version)
		p.offers = append(p.offers, m.Head.Version)
		return answer()
	})
}

// TestEarlierReleaseGetsVersionsInForce checks that a peer that would put a version into
// force at once isn't sent one that most hosts don't hold yet, and counts as a holder of
// what it has.
func TestEarlierReleaseGetsVersionsInForce(t *testing.T) {
	network := peernet.New()
	earlier := &earlierRelease{version: 1}
	earlier.register(network.Port("a"))
	holder := &fakeHolder{current: configstore.Offer{Head: configstore.Head{Version: 1}}}
	e := New(network.Port("h"), network.Port("h"), holder, HeldByMost, rand.New(rand.NewPCG(1, 1)))
	e.SetPeers([]string{"a", "b"}) // b can't be reached
	e.Hold(configstore.Offer{Head: configstore.Head{Version: 2}})
	e.Push(t.Context())
	if len(earlier.offers) > 0 {
		t.Errorf("sent versions %v, want none before most hosts hold version 2", earlier.offers)
	}
	var reply fetchReply
	network.Port("a").Call(t.Context(), "h", methodFetch, earlierMessage{}, &reply)
	if reply.Offer.Head.Version != 1 {
		t.Errorf("version %d fetched, want 1, which is in force", reply.Offer.Head.Version)
	}
	if v, _ := holder.Version(); v != 1 {
		t.Fatalf("version %d in force, want 1", v)
	}
	earlier.version = 2 // it has read the store
	e.Push(t.Context())
	if v, _ := holder.Version(); v != 2 {
		t.Errorf("version %d in force, want 2, which two of three hosts have", v)
	}
}
