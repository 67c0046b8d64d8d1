package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/booking"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/internal/pipenet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// deadlineRegistry runs requests in the background and waits for their outcome until
// its context ends, as booking.Registry does. A claim takes the time claim.
type deadlineRegistry struct{ claim time.Duration }

func (r deadlineRegistry) Do(ctx context.Context, _ booking.Request, run booking.Run) (booking.Response, outcome.Refusal) {
	type ended struct {
		response booking.Response
		refusal  outcome.Refusal
	}
	pause.For(ctx, r.claim)
	done := make(chan ended, 1)
	go func() {
		response, refusal := run(context.WithoutCancel(ctx))
		done <- ended{response, refusal}
	}()
	select {
	case e := <-done:
		return e.response, e.refusal
	case <-ctx.Done():
		return booking.Response{}, outcome.Refusal{Kind: outcome.Unknown, Reason: booking.ReasonInProgress}
	}
}

// newHostsWithEndpoint returns the hosts a and b. The owner of the two has an endpoint
// that answers after work.
func newHostsWithEndpoint(t *testing.T, owner string, work time.Duration) (a, b *host) {
	t.Helper()
	l := pipenet.Listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pause.For(context.WithoutCancel(r.Context()), work)
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	network := peernet.New()
	edit := func(o *Options) {
		o.Bookings = deadlineRegistry{}
		o.Dial = func(context.Context, string, string) (net.Conn, error) { return l.Dial(), nil }
	}
	a, b = newHost(t, network, "a", edit), newHost(t, network, "b", edit)
	e := routing.Endpoint{Name: "e", Service: testService, Address: "e:1", Zone: "z1", Shard: "e", Slots: 4, Connections: 32}
	for name, h := range map[string]*host{"a": a, "b": b} {
		h.SetEndpoints([]routing.Endpoint{e})
		if name == owner {
			h.grants.set(ownership.Full, "e")
		}
	}
	a.receiveDigest(4)
	return a, b
}

// TestAnswerOfPauseIsDelivered has all hosts stand still over a request's deadline.
// The endpoint's answer, which is read shortly after the pause, must reach the caller.
// Without a pause, and for a later answer, the outcome is unknown in time.
func TestAnswerOfPauseIsDelivered(t *testing.T) {
	const timeout = time.Second
	for _, tc := range []struct {
		name   string
		paused bool
		work   time.Duration
		want   outcome.Kind
		took   time.Duration
	}{
		{"AnswerOfPause", true, timeout + answerGrace/2, outcome.Answered, timeout + answerGrace/2},
		{"NoAnswer", true, timeout + 2*answerGrace, outcome.Unknown, timeout + answerGrace},
		{"NoPause", false, timeout + answerGrace/2, outcome.Unknown, timeout},
	} {
		for _, owner := range []string{"a", "b"} {
			for _, key := range []string{"", "k"} {
				t.Run(tc.name+"/"+owner+key, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						a, b := newHostsWithEndpoint(t, owner, tc.work)
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						for _, h := range []*host{a, b} {
							h.recordTick()
							if !tc.paused {
								go h.tickUntil(ctx)
							}
						}
						req, begin := post("x"), time.Now()
						req.Deadline, req.Key = begin.Add(timeout), key
						_, refusal := a.Call(t.Context(), req)
						if took := time.Since(begin); refusal.Kind != tc.want || took != tc.took {
							t.Errorf("%s (%s) after %v, want %s after %v", refusal.Kind, refusal.Reason, took, tc.want, tc.took)
						}
						cancel()
						for _, h := range []*host{a, b} {
							if err := h.Stop(t.Context()); err != nil {
								t.Error(err)
							}
						}
					})
				})
			}
		}
	}
}

// tickUntil records ticks, as of a process that runs, until the context ends.
func (h *host) tickUntil(ctx context.Context) {
	for pause.For(ctx, digestInterval) {
		h.recordTick()
	}
}

// TestGiveUpAt checks until when an answer is awaited around a pause.
func TestGiveUpAt(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name                          string
		sent, deadline, resumed, want time.Time
	}{
		{"no pause", at(0), at(1000), time.Time{}, at(1000)},
		{"pause before the request", at(100), at(1000), at(50), at(1000)},
		{"pause over the deadline", at(0), at(1000), at(1400), at(1400).Add(answerGrace)},
		{"pause until just before the deadline", at(0), at(1000), at(990), at(990).Add(answerGrace)},
		{"pause long before the deadline", at(0), at(1000), at(100), at(1000)},
	} {
		if got := giveUpAt(tc.sent, tc.deadline, tc.resumed); !got.Equal(tc.want) {
			t.Errorf("%s: given up at %v, want %v", tc.name, got, tc.want)
		}
	}
}
