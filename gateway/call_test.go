package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Target", r.URL.String())
	w.Header().Set("X-Own", r.Header.Get("Fireflygate-Fake")+r.Header.Get("X-Forwarded-For"))
	w.WriteHeader(http.StatusCreated)
	_, _ = io.Copy(w, r.Body)
}

func TestCallPassesThroughHTTP(t *testing.T) {
	h := newHost(t, nil, "a", nil)
	h.SetEndpoints([]routing.Endpoint{endpoint(t, "e1", 2, echo)})
	h.grants.set(ownership.Full, "e1")
	url := startServer(t, h.Gateway)
	req, err := http.NewRequest(http.MethodPost, url+"/call/"+testService+"/a%2Fb?x=1", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Forwarded-For", "10.0.0.1")
	req.Header.Set("Fireflygate-Fake", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusCreated || string(body) != "hello" {
		t.Fatalf("got %d %q", resp.StatusCode, body)
	}
	if got := resp.Header.Get("X-Target"); got != "/a%2Fb?x=1" {
		t.Errorf("target %q", got)
	}
	if got := resp.Header.Get("X-Own"); got != "" {
		t.Errorf("headers from outside reached the endpoint: %q", got)
	}
	if got := resp.Header.Get(outcome.Header); got != "answered" {
		t.Errorf("outcome %q", got)
	}
}

func TestForwardOnce(t *testing.T) {
	n := peernet.New()
	a, b, c := newHost(t, n, "a", nil), newHost(t, n, "b", nil), newHost(t, n, "c", nil)
	list := []routing.Endpoint{endpoint(t, "e1", 2, echo), endpoint(t, "e2", 2, echo)}
	for _, h := range []*host{a, b, c} {
		h.SetEndpoints(list)
	}
	b.grants.set(ownership.Full, "e1")
	b.SetPeers([]PeerHost{{Name: "a", Zone: "z1"}})
	flushDigests(t, b)
	// Only b knows the free slots of c.
	c.grants.set(ownership.Full, "e2")
	c.SetPeers([]PeerHost{{Name: "b", Zone: "z1"}})
	flushDigests(t, c)
	resp, r := a.Call(t.Context(), post("x"))
	if r.Kind != outcome.Answered {
		t.Fatalf("forwarded request: got %+v, want answered", r)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "x" {
		t.Fatalf("body %q %v", body, err)
	}
	// The grant of b has ended and a doesn't know: b must refuse the request
	// and not forward it.
	b.grants.set(ownership.None, "e1")
	late := post("y")
	late.Deadline = time.Now().Add(100 * time.Millisecond)
	if _, r := a.Call(t.Context(), late); r.Kind != outcome.NotRun {
		t.Fatalf("want not run, got %+v", r)
	}
}

func TestUnknownServiceAndNoGrant(t *testing.T) {
	h := newHost(t, nil, "a", nil)
	if _, r := h.Call(t.Context(), get("/")); r.Reason != ReasonUnknownService || r.Kind != outcome.NotRun {
		t.Errorf("unknown service: got %+v, want not run", r)
	}
	h.SetEndpoints([]routing.Endpoint{endpoint(t, "e1", 2, echo)})
	h.grants.set(ownership.Full, "other")
	late := get("/")
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	if _, r := h.Call(t.Context(), late); r.Kind != outcome.NotRun || r.RetryAfter == 0 {
		t.Errorf("no grant: got %+v, want not run with a retry time", r)
	}
}
