package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

var write = infra.Transaction{Writes: []infra.Write{{Key: "k", Value: []byte("v")}}}

// rawServer reads one request per connection, writes the given bytes and closes the
// connection. It returns the server's URL and a counter of requests.
func rawServer(t *testing.T, response string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				if requests.Add(1) > 2 {
					// Stops a client that keeps retrying.
					l.Close()
				}
				_, _ = io.WriteString(c, response)
			}
			c.Close()
		}
	}()
	return "http://" + l.Addr().String(), &requests
}

func TestCommitStatus(t *testing.T) {
	const ok = `{"status":1,"version":7}`
	for _, tc := range []struct {
		name     string
		response string
		want     infra.CommitStatus
	}{
		{"applied", "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + ok, infra.CommitApplied},
		{"conflict", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"status\":2}", infra.CommitConflict},
		{"refused", "HTTP/1.1 503 No\r\nFireflygate-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", infra.CommitNotApplied},
		{"503 from an intermediary", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", infra.CommitUnknown},
		{"500 with the header", "HTTP/1.1 500 No\r\nFireflygate-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", infra.CommitUnknown},
		{"no response", "", infra.CommitUnknown},
		{"truncated response", "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + ok[:10], infra.CommitUnknown},
		{"truncated refusal", "HTTP/1.1 503 No\r\nFireflygate-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nab", infra.CommitUnknown},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", infra.CommitUnknown},
		{"status out of range", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"status\":9}", infra.CommitUnknown},
		{"redirect as GET", "HTTP/1.1 303 Go\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n", infra.CommitUnknown},
		{"redirect", "HTTP/1.1 307 Go\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n", infra.CommitUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url, requests := rawServer(t, tc.response)
			table := httpclient.NewTable(url, &http.Client{Transport: &http.Transport{}})
			if got := table.Commit(t.Context(), write); got.Status != tc.want {
				t.Errorf("commit status %d, want %d", got.Status, tc.want)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("request sent %d times, want once", n)
			}
		})
	}
}

func TestCommitNotAppliedWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	table := httpclient.NewTable("http://"+address, http.DefaultClient)
	if got := table.Commit(t.Context(), write); got.Status != infra.CommitNotApplied {
		t.Errorf("commit status %d after a refused connection, want not applied", got.Status)
	}
	if _, err := table.Get(t.Context(), "k"); !errors.Is(err, infra.ErrUnavailable) {
		t.Errorf("get after a refused connection: error %v, want ErrUnavailable", err)
	}
}

func TestCommitUnknownOnceConnectionIsReused(t *testing.T) {
	var served atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if served.Add(1) == 1 {
			_, _ = io.WriteString(w, `{"status":1,"version":1}`)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	table := httpclient.NewTable(s.URL, s.Client())
	table.Commit(t.Context(), write)
	if got := table.Commit(t.Context(), write); got.Status != infra.CommitUnknown {
		t.Errorf("commit status %d, want unknown", got.Status)
	}
	if n := served.Load(); n != 2 {
		t.Errorf("served %d requests, want 2: each commit is sent once", n)
	}
}

func TestCommitUnknownWhenDeadlinePassesAfterSending(t *testing.T) {
	arrived := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	table := httpclient.NewTable(s.URL, s.Client())
	if got := table.Commit(ctx, write); got.Status != infra.CommitUnknown {
		t.Errorf("commit status %d, want unknown", got.Status)
	}
}

func TestResponseSizeIsBounded(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := strings.Repeat("x", 1<<20)
		for range 33 {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	objects := httpclient.NewObjects(s.URL, s.Client())
	if data, err := objects.Get(t.Context(), "k"); !errors.Is(err, infra.ErrUnavailable) {
		t.Errorf("read %d bytes, error %v; want ErrUnavailable", len(data), err)
	}
}

// TestMembersUnmodified checks that an unchanged list isn't transferred again and
// that a 304 response to an unconditional request is an error.
func TestMembersUnmodified(t *testing.T) {
	revision, bodies, force := "1", 0, false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if force || r.Header.Get("If-None-Match") == revision {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodies++
		w.Header().Set("ETag", revision)
		_, _ = io.WriteString(w, `{"revision":`+revision+`,"members":[{"name":"w`+revision+`"}]}`)
	}))
	t.Cleanup(server.Close)
	members := httpclient.NewMembers(server.URL, server.Client())
	for _, step := range []struct {
		revision string
		bodies   int
	}{{"1", 1}, {"1", 1}, {"2", 2}, {"2", 2}} {
		revision = step.revision
		list, err := members.List(t.Context())
		if err != nil || list.Members[0].Name != "w"+revision || bodies != step.bodies {
			t.Fatalf("list %+v, error %v after %d bodies, want revision %s after %d", list, err, bodies, revision, step.bodies)
		}
	}
	force = true
	if _, err := httpclient.NewMembers(server.URL, server.Client()).List(t.Context()); !errors.Is(err, infra.ErrUnavailable) {
		t.Errorf("304 to an unconditional request: error %v, want ErrUnavailable", err)
	}
}
