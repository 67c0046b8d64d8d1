package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// outage is a host that holds nothing, beside a peer, with the table away.
type outage struct {
	*host
	peer *peerSlots
	away atomic.Bool
}

// inOutage runs f with such a host, whose background work goes on.
func inOutage(t *testing.T, f func(t *testing.T, o *outage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := &outage{peer: &peerSlots{work: 10 * time.Millisecond}}
		o.away.Store(true)
		o.host = besidePeer(t, o.peer)
		o.opt.TableAvailable = func() bool { return !o.away.Load() }
		o.Gateway.opt.TableAvailable = o.opt.TableAvailable
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = o.Run(ctx) })
		f(t, o)
		stop()
		running.Wait()
	})
}

// call makes a call with five seconds left, and returns how long it took.
func (o *outage) call(t *testing.T) (outcome.Refusal, time.Duration) {
	t.Helper()
	begun := time.Now()
	_, r := o.Call(t.Context(), get("/"))
	return r, time.Since(begun)
}

// waitsForThePeer checks that a call made now is answered by the peer, which has
// a free slot a second later.
func (o *outage) waitsForThePeer(t *testing.T) {
	t.Helper()
	o.peer.slots.Store(1)
	var all sync.WaitGroup
	all.Go(func() {
		if r, _ := o.call(t); r.Kind != outcome.Answered {
			t.Errorf("got %+v, want the peer's answer", r)
		}
	})
	<-time.After(time.Second)
	o.hears(1)
	all.Wait()
}

// TestUnservedIsRefusedAtOnce replays what callers met after a pause of all hosts
// past their sessions while the table was down: nobody could serve, and each call
// waited to within a moment of its deadline to be told so.
func TestUnservedIsRefusedAtOnce(t *testing.T) {
	inOutage(t, func(t *testing.T, o *outage) {
		o.hears(routing.NoShare)
		r, took := o.call(t)
		if r.Kind != outcome.NotRun || r.Reason != ReasonUnserved || r.RetryAfter != unservedRetry {
			t.Errorf("the call that waited: %+v", r)
		}
		if most := unservedAfter + 2*digestInterval; took > most {
			t.Errorf("it waited %v, want %v at most", took, most)
		}
		if r, took := o.call(t); r.Reason != ReasonUnserved || took > 0 {
			t.Errorf("the next one: %+v after %v, want it refused at once", r, took)
		}
	})
}

// TestServedAgain has the table answer, and the host hold its shards a second
// later: calls wait for that, as at any take-over.
func TestServedAgain(t *testing.T) {
	inOutage(t, func(t *testing.T, o *outage) {
		o.hears(routing.NoShare)
		o.call(t)
		o.away.Store(false)
		<-time.After(2 * digestInterval)
		o.waitsForThePeer(t)
	})
}

// TestServedByOthers has a peer that is full for a second, or the own shards
// taken: the call waits for a slot although the table is away.
func TestServedByOthers(t *testing.T) {
	inOutage(t, func(t *testing.T, o *outage) {
		o.hears(0)
		o.waitsForThePeer(t)
	})
}

// TestOwnShareIsSaid checks that a full host isn't taken for one that can't
// serve.
func TestOwnShareIsSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, nil, "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: svc, Shard: "e", Slots: 1, Connections: 8}})
		for _, one := range []struct {
			share ownership.Share
			want  int
		}{{ownership.None, routing.NoShare}, {ownership.Full, 1}} {
			h.shares.set(one.share, "e")
			if got := h.pool.FreeSlots(time.Now(), svc, h.shares.Snapshot()); got != one.want {
				t.Errorf("%v: %d free, want %d", one.share, got, one.want)
			}
		}
		h.underWay(t)
		if got := h.pool.FreeSlots(time.Now(), svc, h.shares.Snapshot()); got != 0 {
			t.Errorf("full: %d free, want 0", got)
		}
	})
}
