package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// MethodCall forwards one request to a peer that has a free slot.
const MethodCall peer.Method = "call"

// callRequest is a forwarded request. Its remaining time travels with it as
// the context's deadline.
type callRequest struct {
	ID      string      `msgpack:"i"`
	Service string      `msgpack:"s"`
	Method  string      `msgpack:"m"`
	Target  string      `msgpack:"t"`
	Header  http.Header `msgpack:"h"`
	Body    []byte      `msgpack:"b"`
	// Key is set on a booked request, which the receiver runs to its end.
	Key string `msgpack:"k,omitempty"`
	// LeftMS is the time left to dispatch it, in milliseconds.
	LeftMS int64 `msgpack:"l"`
}

// callReply is what became of a forwarded request.
type callReply struct {
	Kind    outcome.Kind `msgpack:"o"`
	Reason  string       `msgpack:"r,omitempty"`
	RetryMS int64        `msgpack:"a,omitempty"`
	Status  int          `msgpack:"s,omitempty"`
	Header  http.Header  `msgpack:"h,omitempty"`
	Body    []byte       `msgpack:"b,omitempty"`
	// Free is the service's free slots left at the peer.
	Free int `msgpack:"f"`
}

func (r callReply) refusal() outcome.Refusal {
	after := time.Duration(r.RetryMS) * time.Millisecond
	return outcome.Refusal{Kind: r.Kind, Reason: r.Reason, RetryAfter: after}
}

// forward sends the request to a peer.
func (g *Gateway) forward(ctx context.Context, req Request, host string) (*Response, outcome.Refusal) {
	if req.Key == "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	var reply callReply
	begin := time.Now()
	res := g.opt.Peers.Call(ctx, host, MethodCall, callRequest{
		ID:      req.id,
		Service: req.Service,
		Method:  req.Method,
		Target:  req.Target,
		Header:  req.Header,
		Body:    req.Body,
		Key:     req.Key,
		LeftMS:  time.Until(req.Deadline).Milliseconds(),
	}, &reply)
	refusal := g.forwardRefusal(host, req.Service, begin, res, reply)
	g.metrics.forwards.WithLabelValues(refusal.Kind.String()).Inc()
	if refusal.Kind != outcome.Answered {
		return nil, refusal
	}
	return wholeResponse(reply.Status, reply.Header, reply.Body), refusal
}

// forwardRefusal reads a peer's result, and learns from it.
func (g *Gateway) forwardRefusal(host, service string, begin time.Time, res peer.Result, reply callReply) outcome.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch res.Kind {
	case outcome.Answered:
		now, q := time.Now(), g.queue(service)
		if reply.Kind != outcome.NotRun {
			q.ObservePeer(now, now.Sub(begin)-g.stood.PausedWithin(begin, now))
		}
		g.peers.SetFree(host, service, reply.Free)
		// Else those that wait for it would stand until the next digest.
		g.forwardQueue(now, service, q)
		return reply.refusal()
	case outcome.NotRun:
		g.peers.Remove(host)
		return notRun(ReasonPeerUnreachable, soon)
	default:
		return unknownOutcome(ReasonPeerNoAnswer)
	}
}

// Register adds the methods that other entry hosts call.
func (g *Gateway) Register(mux peer.Mux) {
	mux.Handle(MethodCall, g.handleCall)
	mux.Handle(MethodFreeSlots, g.handleFree)
}

// handleCall runs a request that a peer forwarded.
func (g *Gateway) handleCall(ctx context.Context, from string, decode func(any) error) (any, error) {
	var in callRequest
	if err := decode(&in); err != nil {
		return nil, err
	}
	req := Request{
		Service:   in.Service,
		Method:    in.Method,
		Target:    in.Target,
		Header:    in.Header,
		Body:      in.Body,
		Key:       in.Key,
		Deadline:  time.Now().Add(time.Duration(in.LeftMS) * time.Millisecond),
		id:        in.ID,
		forwarded: true,
	}
	reply := g.runForwarded(ctx, req)
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.Free = g.pool.FreeSlots(time.Now(), req.Service, g.opt.Ownership.Snapshot())
	g.digests.told(from, req.Service, reply.Free)
	return reply, nil
}

// runForwarded makes one try; its first host decides on another.
func (g *Gateway) runForwarded(ctx context.Context, req Request) callReply {
	if !g.enterForwarded() {
		return callReply{Kind: outcome.NotRun, Reason: ReasonNoSlot}
	}
	defer g.leave()
	resp, refusal := g.once(ctx, req)
	if refusal.Kind != outcome.Answered {
		return callReply{
			Kind:    refusal.Kind,
			Reason:  refusal.Reason,
			RetryMS: refusal.RetryAfter.Milliseconds(),
		}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return callReply{Kind: outcome.Unknown, Reason: ReasonCutOff}
	}
	return callReply{Kind: outcome.Answered, Status: resp.Status, Header: resp.Header, Body: body}
}

// enterForwarded counts a forwarded request in, unless this host is stopping.
func (g *Gateway) enterForwarded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false
	}
	g.active++
	return true
}
