package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// MethodCall forwards one request to a peer.
const MethodCall peer.Method = "call"

// callRequest is a forwarded request. Its deadline is that of the call's
// context.
type callRequest struct {
	ID      string      `msgpack:"i"`
	Service string      `msgpack:"s"`
	Method  string      `msgpack:"m"`
	Target  string      `msgpack:"t"`
	Header  http.Header `msgpack:"h"`
	Body    []byte      `msgpack:"b"`
	// Key is the idempotency key of a booked request, which the receiver runs
	// even after the caller's deadline.
	Key string `msgpack:"k,omitempty"`
	// RemainingMS is the time left to dispatch the request, in milliseconds.
	RemainingMS int64 `msgpack:"l"`
}

// callReply is the result of a forwarded request.
type callReply struct {
	Kind    outcome.Kind `msgpack:"o"`
	Reason  string       `msgpack:"r,omitempty"`
	RetryMS int64        `msgpack:"a,omitempty"`
	Status  int          `msgpack:"s,omitempty"`
	Header  http.Header  `msgpack:"h,omitempty"`
	Body    []byte       `msgpack:"b,omitempty"`
	// Free is the number of free slots of the service that the peer has left.
	Free int `msgpack:"f"`
}

func (r callReply) refusal() outcome.Refusal {
	after := time.Duration(r.RetryMS) * time.Millisecond
	return outcome.Refusal{Kind: r.Kind, Reason: r.Reason, RetryAfter: after}
}

// forward sends the request to a peer and waits for the reply.
func (g *Gateway) forward(ctx context.Context, req Request, host string) (*Response, outcome.Refusal) {
	if req.Key == "" {
		var cancel context.CancelFunc
		ctx, cancel = g.withAnswerDeadline(ctx, req.Deadline)
		defer cancel()
	}
	var reply callReply
	begin := time.Now()
	res := g.opt.Peers.Call(ctx, host, MethodCall, callRequest{
		ID:          req.id,
		Service:     req.Service,
		Method:      req.Method,
		Target:      req.Target,
		Header:      req.Header,
		Body:        req.Body,
		Key:         req.Key,
		RemainingMS: time.Until(req.Deadline).Milliseconds(),
	}, &reply)
	refusal := g.forwardRefusal(host, req.Service, begin, res, reply)
	g.metrics.forwards.WithLabelValues(refusal.Kind.String()).Inc()
	if refusal.Kind != outcome.Answered {
		return nil, refusal
	}
	return wholeResponse(reply.Status, reply.Header, reply.Body), refusal
}

// forwardRefusal converts a peer's result to a refusal. It updates the peer's
// free slots and assigns them to waiting requests, or removes the peer if it
// can't be reached.
func (g *Gateway) forwardRefusal(host, service string, begin time.Time, res peer.Result, reply callReply) outcome.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch res.Kind {
	case outcome.Answered:
		now, q := time.Now(), g.queue(service)
		if reply.Kind != outcome.NotRun {
			q.ObservePeer(g.pauses.RunningTime(now), now.Sub(begin)-g.pauses.PausedWithin(begin, now))
		}
		g.peers.SetFree(host, service, reply.Free)
		// Serve waiting requests now instead of with the next digest.
		g.forwardQueue(now, service, q)
		return reply.refusal()
	case outcome.NotRun:
		g.peers.Remove(host)
		return notRun(ReasonPeerUnreachable, defaultRetryAfter)
	default:
		return unknownOutcome(ReasonPeerNoAnswer)
	}
}

// Register registers the methods that other entry hosts call.
func (g *Gateway) Register(mux peer.Mux) {
	mux.Handle(MethodCall, g.handleCall)
	mux.Handle(MethodFreeSlots, g.handleFreeSlots)
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
		Deadline:  time.Now().Add(time.Duration(in.RemainingMS) * time.Millisecond),
		id:        in.ID,
		forwarded: true,
	}
	reply := g.runForwarded(ctx, req)
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.Free = g.pool.FreeSlots(time.Now(), req.Service, g.opt.Ownership.Snapshot())
	g.digests.recordReply(from, req.Service, reply.Free)
	return reply, nil
}

// runForwarded makes one attempt; the forwarding host decides on retries.
func (g *Gateway) runForwarded(ctx context.Context, req Request) callReply {
	if !g.beginForwarded() {
		return callReply{Kind: outcome.NotRun, Reason: ReasonNoSlot}
	}
	defer g.endRequest()
	resp, refusal := g.attemptOnce(ctx, req)
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

// beginForwarded registers a forwarded request. It returns false if this host
// is stopping.
func (g *Gateway) beginForwarded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false
	}
	g.active++
	return true
}
