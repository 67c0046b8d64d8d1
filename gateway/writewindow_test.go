package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/fireflygate/fireflygate/internal/pipenet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// heldConn is a connection whose writes wait until they are let go.
type heldConn struct {
	net.Conn
	writing *atomic.Int64
	letGo   <-chan struct{}
}

// Write implements net.Conn.
func (c heldConn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	<-c.letGo
	return c.Conn.Write(b)
}

// TestWritesKeepToWindow has a host stand still while it writes requests to an
// endpoint. No more of them than the write window may be between the check of the
// grant and the end of their write: the others are held back, so that a successor's
// half of the slots stays free for it.
func TestWritesKeepToWindow(t *testing.T) {
	const slots = 4
	for name, body := range map[string]string{"NoBody": "", "Small": "x", "Large": strings.Repeat("x", 100_000)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := pipenet.Listen()
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusNoContent)
				})}
				go func() { _ = server.Serve(l) }()
				t.Cleanup(func() { _ = server.Close() })
				var writing atomic.Int64
				letGo := make(chan struct{})
				h := newHost(t, nil, "a", func(o *Options) {
					o.Dial = func(context.Context, string, string) (net.Conn, error) {
						return heldConn{l.Dial(), &writing, letGo}, nil
					}
				})
				h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: testService, Address: "e:1", Shard: "e", Slots: slots, Connections: 8 * slots}})
				h.grants.set(ownership.Full, "e")
				var calls sync.WaitGroup
				for range 2 * slots {
					calls.Go(func() {
						if _, r := h.Call(t.Context(), post(body)); r.Kind != outcome.Answered {
							t.Errorf("call: %+v, want answered", r)
						}
					})
				}
				synctest.Wait()
				if n := writing.Load(); n != int64(routing.WriteWindow(slots)) {
					t.Errorf("%d requests being written, want %d", n, routing.WriteWindow(slots))
				}
				close(letGo)
				calls.Wait()
				if err := h.Stop(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
