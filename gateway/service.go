package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/outcome"
)

// Service implements the generated interface of interactive calls. Its HTTP
// server needs Middleware.
type Service struct {
	gateway *Gateway
}

var _ calls.Service = (*Service)(nil)

// NewService returns the service over a gateway.
func NewService(g *Gateway) *Service { return &Service{gateway: g} }

// Call implements calls.Service.
func (s *Service) Call(ctx context.Context, p *calls.CallPayload, body io.ReadCloser) (*calls.CallResult, io.ReadCloser, error) {
	defer body.Close()
	call, ok := ctx.Value(httpCallKey{}).(*httpCall)
	if !ok {
		return nil, nil, badRequest("the call did not come over HTTP")
	}
	data, err := call.readBody(s.gateway.callSettings().MaxBody)
	if err != nil {
		return nil, nil, err
	}
	resp, refusal := s.gateway.Call(ctx, s.request(call, p, data))
	if refusal.Kind != outcome.Answered {
		call.refusal = refusal
		return nil, nil, newProblem(refusal)
	}
	call.response = resp
	result := &calls.CallResult{Status: resp.Status, Outcome: refusal.Kind.String()}
	return result, &responseBody{call: call, body: resp.Body, log: s.gateway.opt.Log}, nil
}

func (s *Service) request(c *httpCall, p *calls.CallPayload, body []byte) Request {
	timeout := s.gateway.callSettings().Timeout.D()
	if p.TimeoutMs != nil {
		timeout = time.Duration(*p.TimeoutMs) * time.Millisecond
	}
	req := Request{
		Service:  p.Service,
		Method:   c.request.Method,
		Target:   target(c.request, p.Service),
		Header:   EndToEndHeaders(c.request.Header),
		Body:     body,
		Deadline: c.arrived.Add(timeout),
	}
	if p.IdempotencyKey != nil {
		req.Key = *p.IdempotencyKey
	}
	return req
}

// target returns the path below the service and the query, as the caller sent
// them.
func target(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/call/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
