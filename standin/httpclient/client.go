package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

const (
	// unprocessedHeader marks a 503 response to a request that had no effect.
	unprocessedHeader = "Fireflygate-Unprocessed"
	unprocessedValue  = "1"
	contentType       = "application/json"
	maxResponseBytes  = 32 << 20
)

// client sends requests without retries.
type client struct {
	http *http.Client
}

// newClient returns a client based on c that follows no redirects, since a redirect
// would send the request twice.
func newClient(c *http.Client) client {
	own := *c
	own.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return client{http: &own}
}

// do sends one request and reads the complete response.
func (c client) do(ctx context.Context, method, url string, body []byte) response {
	return c.doConditional(ctx, method, url, "", body)
}

// doConditional is like do, with an If-None-Match header unless etag is empty.
func (c client) doConditional(ctx context.Context, method, url, etag string, body []byte) response {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return response{unprocessed: true, err: errors.Wrap(err, "make request")}
	}
	// Without GetBody the transport can't resend the body on another connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", contentType)
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Without a connection, nothing was sent.
		return response{unprocessed: !connected.Load(), err: unavailable(err)}
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

// call posts in as JSON and decodes the response into out.
func (c client) call(ctx context.Context, url string, in, out any) response {
	body, err := json.Marshal(in)
	if err != nil {
		return response{unprocessed: true, err: errors.Wrap(err, "encode request")}
	}
	a := c.do(ctx, http.MethodPost, url, body)
	if a.err != nil {
		return a
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		a.err = unavailable(err)
	}
	return a
}

// readResponse reads the body, up to maxResponseBytes bytes, and maps the status code.
func readResponse(resp *http.Response) response {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{err: unavailable(err)}
	}
	if len(body) > maxResponseBytes {
		return response{err: unavailable(errors.Newf("response body exceeds %d bytes", maxResponseBytes))}
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return response{body: body, etag: resp.Header.Get("ETag")}
	case http.StatusNotModified:
		return response{unmodified: true}
	case http.StatusNotFound:
		return response{err: infra.ErrNotFound}
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(unprocessedHeader) == unprocessedValue
	return response{unprocessed: refused, err: unavailable(errors.Newf("unexpected HTTP status %d", resp.StatusCode))}
}

// unavailable marks err as infra.ErrUnavailable and keeps its message.
func unavailable(err error) error {
	return errors.Mark(err, infra.ErrUnavailable)
}
