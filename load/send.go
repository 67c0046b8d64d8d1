package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// Send sends request x to a target with the service, path and timeout of c, and
// reads the whole response. It returns x with the result filled in.
func Send(ctx context.Context, client *http.Client, c Config, x Exchange, target string) Exchange {
	url := strings.TrimSuffix(target, "/") + "/call/" + c.Service + "/" + strings.TrimPrefix(c.Path, "/")
	// Requests already sent are not cancelled when the traffic ends.
	ctx = context.WithoutCancel(ctx)
	method := http.MethodGet
	if x.Key != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(x.Body))
	if err != nil {
		panic("load: bad target: " + err.Error())
	}
	// Without GetBody the client doesn't retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Fireflygate-Timeout-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if x.Key != "" {
		req.Header.Set("Idempotency-Key", x.Key)
	}
	x.Sent, x.Target = time.Now(), target
	if c.Prepare != nil {
		c.Prepare(req, x)
	}
	resp, err := client.Do(req)
	if err != nil {
		x.Done, x.Outcome, x.Reason = time.Now(), outcome.Unknown, err.Error()
		return x
	}
	defer func() { _ = resp.Body.Close() }()
	x.Answer, err = io.ReadAll(resp.Body)
	x.Done, x.Status, x.Header = time.Now(), resp.StatusCode, resp.Header
	x.Outcome = outcome.Parse(resp.Header.Get(outcome.Header))
	switch {
	case err != nil:
		x.Outcome, x.Reason = outcome.Unknown, err.Error()
	case x.Outcome != outcome.Answered:
		x.Reason = reasonOf(x.Answer)
	}
	return x
}

// reasonOf returns the title of a problem in a response body.
func reasonOf(body []byte) string {
	var p struct {
		Title string `json:"title"`
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return "no problem body"
	}
	return p.Title
}
