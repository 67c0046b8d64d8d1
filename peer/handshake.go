package peer

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// supportedVersions lists the protocol versions that this build supports. Two
// builds run side by side during a rolling restart, so a version must be added
// at least one release before an older one is removed.
var supportedVersions = []uint32{1}

// maxHello is the largest hello frame body in bytes, which is read before the
// peer is authenticated.
const maxHello = 4 << 10

// commonVersion returns the highest version in both lists, or 0 if there is
// none.
func commonVersion(a, b []uint32) uint32 {
	best := uint32(0)
	for _, v := range a {
		if v > best && slices.Contains(b, v) {
			best = v
		}
	}
	return best
}

func writeHello(conn net.Conn, host string, versions []uint32) error {
	body, err := msgpack.Marshal(hello{Host: host, Versions: versions})
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	frame, err := encodeMessage(&message{Kind: kindHello, Body: body}, maxHello)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return errors.Wrap(err, "write hello")
}

// readHello reads the peer's hello and checks that a protocol version is
// shared.
func readHello(conn net.Conn) (hello, error) {
	var h hello
	body, err := readFrame(conn, maxHello)
	if err != nil {
		return h, err
	}
	m, err := decodeMessage(body)
	if err != nil {
		return h, err
	}
	if m.Kind != kindHello {
		return h, errors.Wrapf(ErrHandshake, "message kind %d, expected a hello", m.Kind)
	}
	if err := msgpack.Unmarshal(m.Body, &h); err != nil {
		return h, errors.Wrapf(ErrHandshake, "decode hello: %v", err)
	}
	if commonVersion(supportedVersions, h.Versions) == 0 {
		return h, errors.Wrapf(ErrHandshake, "no common protocol version: peer supports %v, this host %v", h.Versions, supportedVersions)
	}
	return h, nil
}

func setHandshakeDeadline(conn net.Conn, limit time.Duration) error {
	return errors.Wrap(conn.SetDeadline(time.Now().Add(limit)), "set handshake deadline")
}
