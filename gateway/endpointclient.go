package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fireflygate/fireflygate/routing"
)

const (
	// dialTimeout limits one connection attempt.
	dialTimeout = time.Second
	// idleTimeout closes idle connections before common servers do, so that
	// few requests are sent on a connection that the server is closing.
	idleTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a machine that is gone.
	// A request on its way there keeps its slot until its connection breaks.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// tcpUserTimeout is how long the kernel retransmits unacknowledged bytes.
	// It limits how late a request can arrive at an endpoint after a
	// partition.
	tcpUserTimeout = 2 * time.Second
	// maxHeaderBytes is the largest size of response headers.
	maxHeaderBytes = 64 << 10
)

// endpointClient manages the connections to one endpoint.
type endpointClient struct {
	transport *http.Transport
	address   string
	// sent holds the requests sent to the endpoint, guarded by Gateway.mu.
	sent sentRequests
}

// dialFunc connects to an endpoint.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialEndpoint connects to an endpoint over TCP.
func dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return dialer.DialContext(ctx, network, address)
}

func newEndpointClient(e routing.Endpoint, connect dialFunc) *endpointClient {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &endpointConn{Conn: c}, nil
	}
	return &endpointClient{
		address: e.Address,
		sent:    sentRequests{},
		transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        e.OwnerConnections(),
			MaxIdleConnsPerHost:    e.OwnerConnections(),
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a connection.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		ms := int(tcpUserTimeout.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failed
}
