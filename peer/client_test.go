package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
)

type echoMessage struct {
	Text string `msgpack:"s"`
}

// serve starts a server with an echo method and returns the server and its
// address.
func serve(t testing.TB, o Options, admit Admit, register func(*Server)) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(o, admit)
	s.Handle("echo", func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var in echoMessage
		err := decode(&in)
		return in, err
	})
	if register != nil {
		register(s)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s, ln.Addr().String()
}

func dialer(t testing.TB, o Options, address string) *Client {
	t.Helper()
	c := NewClient(o, rand.New(rand.NewPCG(1, 1)))
	c.SetPeers(map[string]string{"b": address})
	t.Cleanup(c.Close)
	return c
}

func admitAll(string, netip.Addr) bool { return true }

func TestCallAnswered(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, admitAll, nil)
	c := dialer(t, Options{Host: "a"}, address)
	for _, s := range []string{"", "one", "two"} {
		var got echoMessage
		r := c.Call(t.Context(), "b", "echo", echoMessage{s}, &got)
		if r.Kind != outcome.Answered || r.Err != nil || got.Text != s {
			t.Fatalf("echo %q = %q, %+v", s, got.Text, r)
		}
	}
}

func TestHandlerErrorIsUnknown(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, admitAll, func(s *Server) {
		s.Handle("fail", func(context.Context, string, func(any) error) (any, error) {
			return nil, errors.New("halfway")
		})
	})
	r := dialer(t, Options{Host: "a"}, address).Call(t.Context(), "b", "fail", echoMessage{}, nil)
	if r.Kind != outcome.Unknown || !errors.Is(r.Err, ErrRemote) || !strings.Contains(r.Err.Error(), "halfway") {
		t.Errorf("call to a failing handler: got %+v, want unknown with the handler's error", r)
	}
}

func TestCallNotRun(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, admitAll, nil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	c := dialer(t, Options{Host: "a", MaxFrame: 100}, address)
	c.SetPeers(map[string]string{"b": address, "dead": closed.Addr().String(), "other": address})
	cases := map[string]struct {
		host   string
		method Method
		s      string
		want   error
	}{
		"unknown host":   {"nobody", "echo", "", ErrUnknownPeer},
		"nobody listens": {"dead", "echo", "", ErrUnreachable},
		"wrong host":     {"other", "echo", "", ErrUnreachable},
		"unknown method": {"b", "nothing", "", ErrRefused},
		"oversized":      {"b", "echo", string(make([]byte, 200)), ErrFrame},
	}
	for name, tc := range cases {
		r := c.Call(t.Context(), tc.host, tc.method, echoMessage{tc.s}, nil)
		if r.Kind != outcome.NotRun || !errors.Is(r.Err, tc.want) {
			t.Errorf("%s: got %+v", name, r)
		}
	}
}

func TestUnknownPeerIsRefused(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, func(name string, remote netip.Addr) bool {
		return name == "friend" && remote.IsLoopback()
	}, nil)
	for host, want := range map[string]outcome.Kind{"friend": outcome.Answered, "stranger": outcome.NotRun} {
		c := dialer(t, Options{Host: host}, address)
		if r := c.Call(t.Context(), "b", "echo", echoMessage{}, nil); r.Kind != want {
			t.Errorf("connecting as %s: got %+v", host, r)
		}
	}
}
