package gateway

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

const (
	// unservedAfter is how long nobody must have been able to serve a service
	// until its calls are refused: longer than hosts that wake from a pause need
	// to hear from the table and from each other.
	unservedAfter = 500 * time.Millisecond
	// unservedRetry is what such callers are told to wait. Nothing changes
	// before the table answers, and then at once.
	unservedRetry = time.Second
)

// noteUnserved keeps since when nobody can serve each service: the table is
// away, so no host can take over a shard, none is held here, and no peer says that
// it holds one. Those that wait by then are refused; they would wait in vain until
// their deadline. It needs the lock.
func (g *Gateway) noteUnserved(now time.Time) {
	away := g.opt.TableAvailable != nil && !g.opt.TableAvailable()
	view := g.opt.Ownership.Snapshot()
	for service := range g.services {
		nobody := away && !g.peers.Serving(now, service) && g.pool.FreeSlots(now, service, view) == routing.NoShare
		if !nobody {
			g.servedAgain(service)
			continue
		}
		u := g.unservedSince[service]
		if u == nil {
			u = &unserved{since: now}
			g.unservedSince[service] = u
		}
		if g.hopeless(now, service) {
			g.refuseWaiting(service)
			u.tell(g.opt.Log, service)
		}
	}
}

// unserved is a service that nobody can serve.
type unserved struct {
	since time.Time
	// told is set once operators were.
	told bool
}

// tell logs once that calls are refused.
func (u *unserved) tell(log *slog.Logger, service string) {
	if !u.told {
		u.told = true
		event.ServiceUnavailable.Log(log, slog.String("service", service))
	}
}

// servedAgain takes calls of the service. It needs the lock.
func (g *Gateway) servedAgain(service string) {
	if u := g.unservedSince[service]; u != nil && u.told {
		event.ServiceAvailable.Log(g.opt.Log, slog.String("service", service))
	}
	delete(g.unservedSince, service)
}

// hopeless reports whether calls of the service are refused at once. It needs
// the lock.
func (g *Gateway) hopeless(now time.Time, service string) bool {
	u := g.unservedSince[service]
	return u != nil && now.Sub(u.since) >= unservedAfter
}

// refuseWaiting wakes all that wait for a place, without one. It needs the lock.
func (g *Gateway) refuseWaiting(service string) {
	q := g.queue(service)
	for t := q.PopAny(); t != nil; t = q.PopAny() {
		close(t.Ready)
	}
}

// refusedUnserved is what callers of such a service are told.
func refusedUnserved() outcome.Refusal { return notRun(ReasonUnserved, unservedRetry) }
