package peer

import (
	"context"
	"math/rand/v2"
	"net"
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
	opts Options
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	late atomic.Uint64

	randMu sync.Mutex
	rand   *rand.Rand

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a client without peers. The source of randomness spreads
// reconnections; the client guards it with a lock of its own.
func NewClient(o Options, r *rand.Rand) *Client {
	var d net.Dialer
	return &Client{opts: o.withDefaults(), dial: d.DialContext, rand: r, links: map[string]*link{}}
}

// SetPeers replaces the known peers: their IP:port by host name. Connections
// to hosts that are gone, or whose address changed, are closed.
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

// Late returns how many replies came after their request was given up.
func (c *Client) LateReplies() uint64 { return c.late.Load() }

// Close ends every connection; requests in flight end as they can.
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

// roundTrip sends one request and waits for its reply or the context's end.
func (c *clientConn) roundTrip(ctx context.Context, method Method, body []byte, reply any) Result {
	if err := ctx.Err(); err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	ca, err := c.open()
	if err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	defer c.retire(ca.id)
	m := &message{Kind: kindRequest, ID: ca.id, Method: method, RemainingMS: remaining(ctx), Body: body}
	if ca.frame, err = encodeMessage(m, c.maxFrame); err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	if err := c.enqueue(ca); err != nil {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	select {
	case a := <-ca.done:
		return ca.resolve(a, reply)
	case <-ctx.Done():
		return ca.giveUp(ctx.Err())
	}
}

// remaining returns the time left to a context's deadline in milliseconds,
// at least 1, or 0 for no deadline.
func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// jitter spreads a wait evenly over its upper half.
func (c *Client) jitter(wait time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return wait/2 + time.Duration(c.rand.Int64N(int64(wait/2)+1))
}
