package faultproxy_test

import (
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/fireflygate/fireflygate/faultproxy"
)

// target listens and hands over its connections.
func target(t *testing.T) (string, <-chan net.Conn) {
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

// link returns both ends of a connection through a new proxy.
func link(t *testing.T) (p *faultproxy.Proxy, client, server net.Conn) {
	t.Helper()
	address, conns := target(t)
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

// expect reads exactly want.
func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	buffer := make([]byte, len(want))
	if _, err := io.ReadFull(c, buffer); err != nil || string(buffer) != want {
		t.Fatalf("read %q: %v, want %q", buffer, err, want)
	}
}

func TestPassesAndCuts(t *testing.T) {
	p, client, server := link(t)
	_, _ = io.WriteString(client, "ask")
	expect(t, server, "ask")
	_, _ = io.WriteString(server, "answer")
	expect(t, client, "answer")
	p.ResetAll()
	if _, err := client.Read(make([]byte, 1)); err == nil {
		t.Error("read after the cut")
	}
}

func TestDropsOneDirection(t *testing.T) {
	p, client, server := link(t)
	p.SetFaults(faultproxy.Faults{DropToTarget: true})
	_, _ = io.WriteString(client, "lost")
	_ = client.(*net.TCPConn).CloseWrite()
	if data, err := io.ReadAll(server); err != nil || len(data) != 0 {
		t.Errorf("server read %q: %v", data, err)
	}
	_, _ = io.WriteString(server, "answer")
	expect(t, client, "answer")
}

func TestFreezeHoldsBytes(t *testing.T) {
	p, client, server := link(t)
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
			t.Fatal("a byte passed a frozen proxy")
		default:
			runtime.Gosched()
		}
	}
	p.SetFaults(faultproxy.Faults{})
	if b := <-got; b != 'h' {
		t.Errorf("read %q", b)
	}
}

func TestResetAfterBytes(t *testing.T) {
	p, client, server := link(t)
	p.SetFaults(faultproxy.Faults{ResetAfter: 3})
	_, _ = io.WriteString(client, "abcdef")
	data, err := io.ReadAll(server)
	if err == nil || len(data) > 3 {
		t.Errorf("read %q: %v", data, err)
	}
}
