package gate

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

const testCredential = "a-credential-for-tests"

// fakePeer is an entry host that records the serial number of the last client
// certificate it received.
type fakePeer struct {
	listener net.Listener
	serial   atomic.Int64
}

func newFakePeer(t *testing.T, a *authority) *fakePeer {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: a.pair("gate-2"),
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: a.pool(),
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &fakePeer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go p.run()
	return p
}

// run closes each connection after its handshake, so that the client reconnects.
func (p *fakePeer) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		secure := conn.(*tls.Conn)
		if secure.HandshakeContext(context.Background()) == nil {
			p.serial.Store(secure.ConnectionState().PeerCertificates[0].SerialNumber.Int64())
		}
		_ = conn.Close()
	}
}

// TestTLS checks which peers and operators are admitted by an entry host with
// certificates and a credential, and that it uses renewed certificates as server
// and as client without a restart.
func TestTLS(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := trusted.write(dir, "gate-1", 100)
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte(testCredential), 0o600); err != nil {
		t.Fatal(err)
	}
	_, p, l := startGate(t, func(s *settings.Settings) { s.Host.TLS, s.Host.Secret = files, secret })
	other := newFakePeer(t, trusted)
	p.PutEntryHost(standin.EntryHostConfig{Name: "gate-2", Peer: other.listener.Addr().String(), Zone: "z"})

	peers := l.Peers.Addr().String()
	base := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: trusted.pool(), ServerName: "gate-1"}
	if admitted(t, peers, base) {
		t.Error("a peer without a certificate was admitted")
	}
	if admitted(t, peers, with(base, untrusted.pair("gate-2"))) {
		t.Error("a peer with a certificate of an untrusted authority was admitted")
	}
	if !admitted(t, peers, with(base, trusted.pair("gate-2"))) {
		t.Error("a peer with a trusted certificate was refused")
	}

	operators := "https://" + l.Operators.Addr().String()
	for credential, want := range map[string]int{"": 401, "wrong-credential-here": 401, testCredential: 200} {
		for _, path := range []string{"/status", "/metrics", "/debug/pprof/"} {
			if got := statusOf(t, operators+path, credential, base); got != want {
				t.Errorf("%s with credential %q: %d, want %d", path, credential, got, want)
			}
		}
	}
	if got := statusOf(t, operators+"/readyz", "", base); got == 401 {
		t.Error("the readiness check requires a credential")
	}

	eventually(t, "the peer receives the first certificate", func() bool { return other.serial.Load() == 100 })
	trusted.write(dir, "gate-1", 200)
	eventually(t, "the operators' port uses the renewed certificate", func() bool {
		return serialAt(t, l.Operators.Addr().String(), base) == 200
	})
	eventually(t, "the peer receives the renewed certificate", func() bool { return other.serial.Load() == 200 })
}

func with(base *tls.Config, certificates []tls.Certificate) *tls.Config {
	c := base.Clone()
	c.Certificates = certificates
	return c
}

// admitted reports whether the peers' port accepts a client's certificate. With
// TLS 1.3 a client learns of a rejection at its first read. An admitted client
// that closes its side reads EOF.
func admitted(t *testing.T, address string, config *tls.Config) bool {
	t.Helper()
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.CloseWrite()
	_, err = conn.Read(make([]byte, 1))
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "remote error" {
		return false
	}
	if !errors.Is(err, io.EOF) {
		t.Fatalf("read after the handshake: %v, want EOF or a TLS alert", err)
	}
	return true
}

func statusOf(t *testing.T, url, credential string, config *tls.Config) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func serialAt(t *testing.T, address string, config *tls.Config) int64 {
	t.Helper()
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
