package ingress

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// Budget is what the callers of a process hold of its limits.
type Budget struct {
	limits  Limits
	observe func(Cause)
	request atomic.Pointer[RequestLimits]

	mu sync.Mutex // guards the fields below and the state of all connections
	// open counts the open connections, closing those of them that have lost their
	// places.
	open, closing int
	used          int64
	// requests holds the connections whose request, or response, waits for the client,
	// and idle those without a request; the one without progress for longest is first.
	requests, idle *list.List
}

// NewBudget returns a budget. The function observe is called for each refusal; it must
// not block.
func NewBudget(l Limits, r RequestLimits, observe func(Cause)) *Budget {
	b := &Budget{limits: l, observe: observe, requests: list.New(), idle: list.New()}
	b.SetRequestLimits(r)
	return b
}

// SetRequestLimits sets the limits of requests whose header or idle time begins later.
func (b *Budget) SetRequestLimits(r RequestLimits) { b.request.Store(&r) }

// Usage returns the number of open connections and the bytes that callers hold.
func (b *Budget) Usage() (connections int, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open, b.used
}

// admit gives a new connection its place, and reports whether there is one.
func (b *Budget) admit(c *Conn, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open-b.closing >= b.limits.Connections || b.used+b.limits.connection() > b.limits.Bytes {
		if b.closing >= MaxClosing || !b.evictOne(now) {
			return false
		}
	}
	b.open++
	b.charge(c, b.limits.connection())
	c.enter(idle, now)
	return true
}

// grow charges a connection for n bytes if the total stays within limit. Requests that
// stall lose their places from half of the limit on.
func (b *Budget) grow(c *Conn, n, limit int64, now time.Time) bool {
	if b.used+n > limit/2 {
		b.evictStalled(now)
	}
	if b.used+n > limit {
		return false
	}
	b.charge(c, n)
	return true
}

// charge adds n bytes, which may be negative, to what a connection holds.
func (b *Budget) charge(c *Conn, n int64) {
	b.used += n
	c.charged += n
}

// evictStalled takes the places of all requests that stall.
func (b *Budget) evictStalled(now time.Time) {
	for b.evictFrom(b.requests, now, stallTime, CauseStalled) {
	}
}

// evictOne takes the place of a request that stalls or, if there is none, of an idle
// connection. It reports whether there was one.
func (b *Budget) evictOne(now time.Time) bool {
	return b.evictFrom(b.requests, now, stallTime, CauseStalled) || b.evictFrom(b.idle, now, idleGrace, CauseIdle)
}

// evictFrom takes the place of the first connection of a list if it made no progress for
// the time.
func (b *Budget) evictFrom(l *list.List, now time.Time, without time.Duration, cause Cause) bool {
	first := l.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*Conn)
	if now.Sub(c.progress) < without {
		return false
	}
	b.closing++
	c.lose(cause)
	return true
}

// EvictStalled takes the places of all requests that stall. A host that stops calls it, so
// that clients that stall don't use its grace period up.
func (b *Budget) EvictStalled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictStalled(time.Now())
}

// release returns all that a closed connection holds.
func (b *Budget) release(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.leave()
	if c.lost != "" {
		b.closing--
	}
	b.open--
	b.charge(c, -c.charged)
}

// refused counts a refusal.
func (b *Budget) refused(cause Cause) {
	if b.observe != nil {
		b.observe(cause)
	}
}
