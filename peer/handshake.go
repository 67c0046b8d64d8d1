package peer

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// supportedVersions are the protocol versions that this build speaks. A
// rolling restart runs two builds at once, so a new version is added here one
// release before an old one is taken out.
var supportedVersions = []uint32{1}

// maxHello bounds the first frame, which comes from a stranger.
const maxHello = 4 << 10

// commonVersion returns the highest version in both lists, 0 if none.
func commonVersion(a, b []uint32) uint32 {
	best := uint32(0)
	for _, v := range a {
		if v > best && slices.Contains(b, v) {
			best = v
		}
	}
	return best
}

// writeHello sends this side's hello.
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

// readHello reads the other side's hello and checks that a version is shared.
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
		return h, errors.Wrap(ErrHandshake, "no hello")
	}
	if err := msgpack.Unmarshal(m.Body, &h); err != nil {
		return h, errors.Wrapf(ErrHandshake, "decode hello: %v", err)
	}
	if commonVersion(supportedVersions, h.Versions) == 0 {
		return h, errors.Wrapf(ErrHandshake, "no common version with %v", h.Versions)
	}
	return h, nil
}

// handshakeDeadline bounds the reads and writes of a handshake.
func handshakeDeadline(conn net.Conn, limit time.Duration) error {
	return errors.Wrap(conn.SetDeadline(time.Now().Add(limit)), "set handshake deadline")
}
