package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that bytes stuck in a send buffer
// through a partition are given up rather than delivered late. Other kinds of
// connection are left alone.
func setUserTimeout(conn net.Conn, limit time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || limit <= 0 {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "raw connection")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, setErr), "set TCP_USER_TIMEOUT")
}

// certifies reports whether the other side may call itself host: always on
// plain TCP, by its certificate on TLS.
func certifies(conn net.Conn, host string) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := secure.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.Wrap(ErrHandshake, "no certificate")
	}
	if err := certs[0].VerifyHostname(host); err != nil {
		return errors.Wrapf(ErrHandshake, "certificate: %v", err)
	}
	return nil
}
