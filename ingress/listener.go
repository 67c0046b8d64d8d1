package ingress

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Listen listens for callers. Their connections have small receive buffers, as what the
// kernel receives counts as memory of the process.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		control := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer)
		})
		return errors.CombineErrors(control, err)
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	return ln, errors.Wrap(err, "listen for callers")
}

// listener is a net.Listener whose connections have a place in a budget.
type listener struct {
	net.Listener
	budget  *Budget
	refusal func(Cause) []byte
}

// NewListener returns a listener whose connections have a place in the budget. It closes
// connections at once for which there is none. The function refusal returns the
// response, as text, to a request whose header wasn't read whole.
func NewListener(l net.Listener, b *Budget, refusal func(Cause) []byte) net.Listener {
	return &listener{l, b, refusal}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, budget: l.budget, refusal: l.refusal}
		if l.budget.admit(c, time.Now()) {
			return c, nil
		}
		l.budget.refused(CauseConnections)
		_ = raw.Close() // no request was read
	}
}
