package gateway

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/internal/crowd"
)

// certPool returns the authorities of a server's certificate.
func certPool(s *httptest.Server) *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(s.Certificate())
	return pool
}

// TestCrowdOverTLS guards against encrypted connections that hold more than the budget:
// bodies that stop just short of their end, and handshakes that never begin.
func TestCrowdOverTLS(t *testing.T) {
	const (
		clients, size = 60, 256 << 10
		// connectionBytes is what an encrypted connection counts without a request.
		connectionBytes = 48 << 10
	)
	limits := ingress.Limits{Connections: 40, Bytes: 8 << 20, TLS: true}
	b := ingress.NewBudget(limits, RequestLimits(), nil)
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS() // for its certificate
	defer cert.Close()
	ln, err := ingress.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ingress.WithBody(size, Refuse)(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})))
	go func() { _ = Serve(server, tls.NewListener(LimitConnections(ln, func() int { return 0 }), cert.TLS), b) }()
	t.Cleanup(func() { _ = server.Close() })
	config := &tls.Config{RootCAs: certPool(cert), ServerName: "example.com", MinVersion: tls.VersionTLS13}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	}
	r := crowd.Request{Method: http.MethodPost, Host: "example.com", Path: "/"}
	address := []string{ln.Addr().String()}
	holding := crowd.Start(address, clients, dial, crowd.HoldBody(r, size, 1, 16<<10))
	silent := crowd.Start(address, clients, crowd.Dial, crowd.Connect())
	for holding.Passes() < 2 || silent.Passes() < 2 {
		// Connections that have lost their places may be closing beside the new ones.
		if n, bytes := b.Usage(); n > limits.Connections+ingress.MaxClosing || bytes > limits.Bytes+ingress.MaxClosing*connectionBytes {
			t.Fatalf("%d connections and %d bytes are held, want at most %+v", n, bytes, limits)
		}
		<-time.After(10 * time.Millisecond) // the interval between two looks
	}
	holding.Stop()
	silent.Stop()
	client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	for {
		resp, err := client.Post("https://"+address[0]+"/", "text/plain", strings.NewReader("x"))
		if err != nil {
			continue // the last of the crowd hold the places until they are closed
		}
		_ = resp.Body.Close() // it is empty
		if resp.StatusCode == http.StatusNoContent {
			return
		}
	}
}
