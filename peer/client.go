package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
)

// Client sends requests to peers, over one connection to each. It is safe for
// concurrent use.
type Client struct {
	opts        Options
	lateReplies atomic.Uint64

	randMu sync.Mutex
	rand   *rand.Rand

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a client without peers. The random source provides the
// jitter of reconnections; the client serializes access to it.
func NewClient(o Options, r *rand.Rand) *Client {
	return &Client{opts: o.withDefaults(), rand: r, links: map[string]*link{}}
}

// SetPeers replaces the known peers, given as IP:port by host name. It closes
// connections to hosts that were removed or whose address changed.
func (c *Client) SetPeers(addresses map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, l := range c.links {
		if addresses[host] != l.address {
			l.close(errors.New("peer removed"))
			delete(c.links, host)
		}
	}
	for host, address := range addresses {
		if c.links[host] == nil {
			c.links[host] = newLink(c, host, address)
		}
	}
}

// Redial ends the backoff after a failed dial, so that the next call to the host dials at
// once. It is for callers that know that the host has been up since that dial.
func (c *Client) Redial(host string) {
	c.mu.Lock()
	l := c.links[host]
	c.mu.Unlock()
	if l != nil {
		l.endBackoff()
	}
}

// LateReplies returns how many replies arrived after their request was
// abandoned.
func (c *Client) LateReplies() uint64 { return c.lateReplies.Load() }

// Close closes all connections. Requests in flight end with an error.
func (c *Client) Close() { c.SetPeers(nil) }

// Call implements Transport.
func (c *Client) Call(ctx context.Context, host string, method Method, request, reply any) Result {
	c.mu.Lock()
	l := c.links[host]
	c.mu.Unlock()
	if l == nil {
		return Result{Kind: outcome.NotRun, Err: errors.Wrap(ErrUnknownPeer, host)}
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return Result{Kind: outcome.NotRun, Err: errors.Wrap(err, "encode request")}
	}
	conn, err := l.get(ctx)
	if err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	return conn.roundTrip(ctx, method, body, reply)
}

// roundTrip sends one request and waits for its reply or for the end of the
// context.
func (c *clientConn) roundTrip(ctx context.Context, method Method, body []byte, reply any) Result {
	if err := ctx.Err(); err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	ca, err := c.register()
	if err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	defer c.unregister(ca.id)
	m := &message{Kind: kindRequest, ID: ca.id, Method: method, RemainingMS: remaining(ctx), Body: body}
	if ca.frame, err = encodeMessage(m, c.maxFrame); err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	if err := c.enqueue(ca); err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	select {
	case a := <-ca.done:
		return ca.decodeReply(a, reply)
	case <-ctx.Done():
		return ca.abandon(ctx.Err())
	}
}

// remaining returns the time until the context's deadline in milliseconds, at
// least 1, or 0 without a deadline.
func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// jitter returns a random duration between half of wait and wait.
func (c *Client) jitter(wait time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return wait/2 + time.Duration(c.rand.Int64N(int64(wait/2)+1))
}
