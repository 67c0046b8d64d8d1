package gateway

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

const (
	// unservedDelay is how long a service must be unservable before its calls
	// are refused. It exceeds the time that hosts need after a process pause
	// to hear from the table and from each other.
	unservedDelay = 500 * time.Millisecond
	// unservedRetryAfter is the retry time given to callers of these services.
	unservedRetryAfter = time.Second
)

// updateUnserved tracks since when each service can't be served: the table is
// unavailable, so no host can take over a shard, this host holds no share, and
// no peer reports one. After unservedDelay it refuses waiting requests instead
// of letting them wait until their deadline. g.mu must be held.
func (g *Gateway) updateUnserved(now time.Time) {
	tableDown := g.opt.TableAvailable != nil && !g.opt.TableAvailable()
	snapshot := g.opt.Ownership.Snapshot()
	for service := range g.services {
		unservable := tableDown && !g.peers.Serving(now, service) && g.pool.FreeSlots(now, service, snapshot) == routing.NoShare
		if !unservable {
			g.clearUnserved(service)
			continue
		}
		u := g.unservedServices[service]
		if u == nil {
			u = &unservedState{since: now}
			g.unservedServices[service] = u
		}
		if g.refusesUnserved(now, service) {
			g.refuseWaitingRequests(service)
			u.logOnce(g.opt.Log, service)
		}
	}
}

// unservedState is the state of a service that no known host can serve.
type unservedState struct {
	since  time.Time
	logged bool
}

// logOnce logs on its first call that calls are refused.
func (u *unservedState) logOnce(log *slog.Logger, service string) {
	if !u.logged {
		u.logged = true
		event.ServiceUnavailable.Log(log, slog.String("service", service))
	}
}

// clearUnserved marks the service as servable. g.mu must be held.
func (g *Gateway) clearUnserved(service string) {
	if u := g.unservedServices[service]; u != nil && u.logged {
		event.ServiceAvailable.Log(g.opt.Log, slog.String("service", service))
	}
	delete(g.unservedServices, service)
}

// refusesUnserved reports whether calls of the service are refused
// immediately. g.mu must be held.
func (g *Gateway) refusesUnserved(now time.Time, service string) bool {
	u := g.unservedServices[service]
	return u != nil && now.Sub(u.since) >= unservedDelay
}

// refuseWaitingRequests wakes all waiting requests without a placement, which
// refuses them. g.mu must be held.
func (g *Gateway) refuseWaitingRequests(service string) {
	q := g.queue(service)
	for t := q.PopAny(); t != nil; t = q.PopAny() {
		close(t.Ready)
	}
}

// unservedRefusal is the refusal for callers of a service that no known host can
// serve.
func unservedRefusal() outcome.Refusal { return notRun(ReasonUnserved, unservedRetryAfter) }
