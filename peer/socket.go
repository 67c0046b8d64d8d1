package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that bytes unacknowledged during a
// partition are discarded instead of delivered late. It has no effect on
// connections other than TCP.
func setUserTimeout(conn net.Conn, limit time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || limit <= 0 {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access raw connection")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, setErr), "set TCP_USER_TIMEOUT")
}

// verifyCertificate checks that the peer's certificate is valid for host.
// Connections without TLS are not checked.
func verifyCertificate(conn net.Conn, host string) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := secure.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.Wrap(ErrHandshake, "peer sent no certificate")
	}
	if err := certs[0].VerifyHostname(host); err != nil {
		return errors.Wrapf(ErrHandshake, "verify certificate for host %q: %v", host, err)
	}
	return nil
}
