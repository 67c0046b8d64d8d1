package faultproxy_test

import (
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/fireflygate/fireflygate/faultproxy"
)

// listenTarget listens on a loopback port and returns its address and the
// connections that it accepts.
func listenTarget(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}

// connect returns a new proxy and both ends of a connection through it.
func connect(t *testing.T) (p *faultproxy.Proxy, client, server net.Conn) {
	t.Helper()
	address, conns := listenTarget(t)
	p, err := faultproxy.New("127.0.0.1:0", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	client, err = net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	server = <-conns
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return p, client, server
}

// expectRead fails the test unless the next bytes from c are want.
func expectRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	buffer := make([]byte, len(want))
	if _, err := io.ReadFull(c, buffer); err != nil || string(buffer) != want {
		t.Fatalf("read %q: %v, want %q", buffer, err, want)
	}
}

func TestForwardsAndResets(t *testing.T) {
	p, client, server := connect(t)
	_, _ = io.WriteString(client, "ask")
	expectRead(t, server, "ask")
	_, _ = io.WriteString(server, "answer")
	expectRead(t, client, "answer")
	p.ResetAll()
	if _, err := client.Read(make([]byte, 1)); err == nil {
		t.Error("read after ResetAll: got no error")
	}
}

func TestDropsOneDirection(t *testing.T) {
	p, client, server := connect(t)
	p.SetFaults(faultproxy.Faults{DropToTarget: true})
	_, _ = io.WriteString(client, "lost")
	_ = client.(*net.TCPConn).CloseWrite()
	if data, err := io.ReadAll(server); err != nil || len(data) != 0 {
		t.Errorf("server read %q, error %v; want the end of the stream", data, err)
	}
	_, _ = io.WriteString(server, "answer")
	expectRead(t, client, "answer")
}

func TestFreezeHoldsBytes(t *testing.T) {
	p, client, server := connect(t)
	p.SetFaults(faultproxy.Faults{Freeze: true})
	_, _ = io.WriteString(client, "held")
	got := make(chan byte, 1)
	go func() {
		b := make([]byte, 1)
		_, _ = server.Read(b)
		got <- b[0]
	}()
	for p.HeldChunks() == 0 {
		select {
		case <-got:
			t.Fatal("the server received a byte during Freeze")
		default:
			runtime.Gosched()
		}
	}
	p.SetFaults(faultproxy.Faults{})
	if b := <-got; b != 'h' {
		t.Errorf("server read %q after Freeze, want 'h'", b)
	}
}

func TestResetAfterBytes(t *testing.T) {
	p, client, server := connect(t)
	p.SetFaults(faultproxy.Faults{ResetAfter: 3})
	_, _ = io.WriteString(client, "abcdef")
	data, err := io.ReadAll(server)
	if err == nil || len(data) > 3 {
		t.Errorf("server read %q, error %v; want at most 3 bytes and an error", data, err)
	}
}
