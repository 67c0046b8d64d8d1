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
	// unprocessedHeader marks a 503 whose sender did nothing.
	unprocessedHeader = "Fireflygate-Unprocessed"
	unprocessedValue  = "1"
	contentType       = "application/json"
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 32 << 20
)

// client sends single requests; it never repeats one by itself.
type client struct {
	http *http.Client
}

// newClient takes over c's transport, but follows no redirect, since that
// would send a request twice.
func newClient(c *http.Client) client {
	own := *c
	own.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return client{http: &own}
}

// do sends one request and reads its whole answer.
func (c client) do(ctx context.Context, method, url string, body []byte) answer {
	return c.send(ctx, method, url, "", body)
}

// send is do, for an answer that differs from the one with the entity tag; any
// if that is empty.
func (c client) send(ctx context.Context, method, url, etag string, body []byte) answer {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return answer{unprocessed: true, err: errors.Wrap(err, "make request")}
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", contentType)
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// No byte can have left before there was a connection.
		return answer{unprocessed: !connected.Load(), err: unavailable(err)}
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

// call sends in as JSON and decodes the answer into out.
func (c client) call(ctx context.Context, url string, in, out any) answer {
	body, err := json.Marshal(in)
	if err != nil {
		return answer{unprocessed: true, err: errors.Wrap(err, "encode request")}
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

// readAnswer reads a bounded body to its end.
func readAnswer(resp *http.Response) answer {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return answer{err: unavailable(err)}
	}
	if len(body) > maxAnswer {
		return answer{err: unavailable(errors.Newf("answer is larger than %d bytes", maxAnswer))}
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return answer{body: body, etag: resp.Header.Get("ETag")}
	case http.StatusNotModified:
		return answer{unmodified: true}
	case http.StatusNotFound:
		return answer{err: infra.ErrNotFound}
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(unprocessedHeader) == unprocessedValue
	return answer{unprocessed: refused, err: unavailable(errors.Newf("status %d", resp.StatusCode))}
}

// unavailable marks err as infra.ErrUnavailable and keeps its cause.
func unavailable(err error) error {
	return errors.Mark(err, infra.ErrUnavailable)
}
