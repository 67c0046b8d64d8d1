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

// outage is a host without shares and with one peer, during an outage of the
// table.
type outage struct {
	*host
	peer      *stubPeer
	tableDown atomic.Bool
}

// runInOutage runs f with a host in an outage, whose background work runs
// meanwhile.
func runInOutage(t *testing.T, f func(t *testing.T, o *outage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := &outage{peer: &stubPeer{work: 10 * time.Millisecond}}
		o.tableDown.Store(true)
		o.host = newHostWithPeer(t, o.peer)
		o.opt.TableAvailable = func() bool { return !o.tableDown.Load() }
		o.Gateway.opt.TableAvailable = o.opt.TableAvailable
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = o.Run(ctx) })
		f(t, o)
		stop()
		running.Wait()
	})
}

// call makes a call with a timeout of five seconds and returns its refusal and
// duration.
func (o *outage) call(t *testing.T) (outcome.Refusal, time.Duration) {
	t.Helper()
	begun := time.Now()
	_, r := o.Call(t.Context(), get("/"))
	return r, time.Since(begun)
}

// checkServedByPeer checks that a call waits for the peer, which reports a
// free slot one second later.
func (o *outage) checkServedByPeer(t *testing.T) {
	t.Helper()
	o.peer.slots.Store(1)
	var all sync.WaitGroup
	all.Go(func() {
		if r, _ := o.call(t); r.Kind != outcome.Answered {
			t.Errorf("got %+v, want an answer from the peer", r)
		}
	})
	<-time.After(time.Second)
	o.receiveDigest(1)
	all.Wait()
}

// TestUnservedCallsAreRefused checks that calls of a service that no host can
// serve are refused after a short delay, instead of waiting until their
// deadline.
func TestUnservedCallsAreRefused(t *testing.T) {
	runInOutage(t, func(t *testing.T, o *outage) {
		o.receiveDigest(routing.NoShare)
		r, took := o.call(t)
		if r.Kind != outcome.NotRun || r.Reason != ReasonUnserved || r.RetryAfter != unservedRetryAfter {
			t.Errorf("first call: got %+v, want a refusal as unserved", r)
		}
		if most := unservedDelay + 2*digestInterval; took > most {
			t.Errorf("first call waited %v, want at most %v", took, most)
		}
		if r, took := o.call(t); r.Reason != ReasonUnserved || took > 0 {
			t.Errorf("next call: got %+v after %v, want an immediate refusal as unserved", r, took)
		}
	})
}

// TestServedAfterTableRecovers checks that calls wait for a slot again once
// the table is available.
func TestServedAfterTableRecovers(t *testing.T) {
	runInOutage(t, func(t *testing.T, o *outage) {
		o.receiveDigest(routing.NoShare)
		o.call(t)
		o.tableDown.Store(false)
		<-time.After(2 * digestInterval)
		o.checkServedByPeer(t)
	})
}

// TestWaitsForBusyPeer checks that a call waits for a peer that holds a share
// but has no free slot, although the table is unavailable.
func TestWaitsForBusyPeer(t *testing.T) {
	runInOutage(t, func(t *testing.T, o *outage) {
		o.receiveDigest(0)
		o.checkServedByPeer(t)
	})
}

// TestFreeSlotsByShare checks that a host without free slots is distinguished
// from one without a share.
func TestFreeSlotsByShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, nil, "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: testService, Shard: "e", Slots: 1, Connections: 8}})
		for _, one := range []struct {
			share ownership.Share
			want  int
		}{{ownership.None, routing.NoShare}, {ownership.Full, 1}} {
			h.grants.set(one.share, "e")
			if got := h.pool.FreeSlots(time.Now(), testService, h.grants.Snapshot()); got != one.want {
				t.Errorf("share %v: %d free slots, want %d", one.share, got, one.want)
			}
		}
		h.startExchange(t)
		if got := h.pool.FreeSlots(time.Now(), testService, h.grants.Snapshot()); got != 0 {
			t.Errorf("with all slots in use: %d free slots, want 0", got)
		}
	})
}
