package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/settings"
)

func countHits(hits *atomic.Int64) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		hits.Add(1)
	}
}

// readStatus reads a response and returns its status, or 0 if there is none.
func readStatus(in *bufio.Reader) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestAmbiguousRequestsAreRefused checks that raw ambiguous requests are
// refused, on a new and on a reused connection, and that a request smuggled
// after them is not run.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 4, countHits(&hits), nil)
	address := strings.TrimPrefix(startServer(t, h.Gateway), "http://")
	path := "/call/" + testService + "/"
	smuggled := "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
	first := "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
	for name, raw := range map[string]string{
		"both lengths":    "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":     "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n",
		"odd encoding":    "POST " + path + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"absolute target": "GET http://other" + path + " HTTP/1.1\r\nHost: x\r\n\r\n",
		"connect":         "CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n",
		"trace":           "TRACE " + path + " HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		for _, second := range []bool{false, true} {
			hits.Store(0)
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			if second {
				_, _ = io.WriteString(c, first)
				if status := readStatus(in); status != http.StatusOK {
					t.Fatalf("%s: status %d of the first request, want 200", name, status)
				}
				hits.Store(0)
			}
			_, _ = io.WriteString(c, raw+smuggled)
			if status := readStatus(in); status < 400 || status == http.StatusNotFound {
				t.Errorf("%s, second %v: status %d", name, second, status)
			}
			_, _ = io.Copy(io.Discard, in) // until the server closes
			c.Close()
			if hits.Load() != 0 {
				t.Errorf("%s, second %v: endpoint saw %d requests", name, second, hits.Load())
			}
		}
	}
}

func TestMaxBody(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 4, countHits(&hits), func(o *Options) { o.Calls.MaxBody = 1000 })
	url := startServer(t, h.Gateway)
	for name, body := range map[string]io.Reader{
		"declared": strings.NewReader(strings.Repeat("x", 1001)),
		"chunked":  io.MultiReader(strings.NewReader(strings.Repeat("x", 1001))),
	} {
		resp, err := http.Post(url+"/call/"+testService+"/", "", body)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || resp.Header.Get(outcome.Header) != "not_run" || hits.Load() != 0 {
			t.Errorf("%s: %d %q, endpoint saw %d", name, resp.StatusCode, resp.Header.Get(outcome.Header), hits.Load())
		}
	}
}

func TestConnectionsPerCaller(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 4, countHits(&hits), func(o *Options) { o.Calls.ConnectionsPerCaller = 2 })
	address := strings.TrimPrefix(startServer(t, h.Gateway), "http://")
	request := "GET /call/" + testService + "/ HTTP/1.1\r\nHost: x\r\n\r\n"
	answered := func(c net.Conn) bool {
		_, _ = io.WriteString(c, request)
		return readStatus(bufio.NewReader(c)) == http.StatusOK
	}
	var open []net.Conn
	for i := range 3 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
		if got, want := answered(c), i < 2; got != want {
			t.Errorf("connection %d: answered is %v", i+1, got)
		}
	}
	for _, c := range open {
		c.Close()
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	h := newSingleEndpointHost(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(unprocessedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(o *Options) { o.Calls = testCalls(); o.Calls.Timeout = settings.Duration(1e9) })
	resp, err := http.Get(startServer(t, h.Gateway) + "/call/" + testService + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1" ||
		resp.Header.Get(outcome.Header) != "not_run" || !strings.Contains(string(body), "retry_after_ms") {
		t.Errorf("status %d, headers %v, body %s; want 503 with a retry time", resp.StatusCode, resp.Header, body)
	}
}

// TestSetCallsTakesEffect checks that changed limits apply to the next request
// without a restart.
func TestSetCallsTakesEffect(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 4, countHits(&hits), func(*Options) {})
	url := startServer(t, h.Gateway) + "/call/" + testService + "/"
	send := func() int {
		resp, err := http.Post(url, "", strings.NewReader(strings.Repeat("x", 100)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if status := send(); status != http.StatusOK {
		t.Fatalf("status %d before the change, want 200", status)
	}
	c := testCalls()
	c.MaxBody = 10
	h.SetCalls(c)
	if status := send(); status != http.StatusBadRequest || hits.Load() != 1 {
		t.Fatalf("after the change: status %d, want 400; endpoint saw %d requests, want 1", status, hits.Load())
	}
}
