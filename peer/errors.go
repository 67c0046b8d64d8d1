package peer

import "github.com/cockroachdb/errors"

var (
	// ErrUnknownPeer is returned for a host whose address is not known.
	ErrUnknownPeer = errors.New("peer: host not known")
	// ErrUnreachable is returned when there is no connection to the host.
	ErrUnreachable = errors.New("peer: not connected")
	// ErrBusy is returned when a bound on requests or frames is reached.
	ErrBusy = errors.New("peer: too many requests")
	// ErrClosed is returned when the connection ended before the answer.
	ErrClosed = errors.New("peer: connection closed")
	// ErrFrame is returned for a frame that is oversized, damaged or of an
	// unknown format.
	ErrFrame = errors.New("peer: bad frame")
	// ErrHandshake is returned when the hellos do not agree.
	ErrHandshake = errors.New("peer: handshake refused")
	// ErrRefused is returned when the peer refused a request unprocessed.
	ErrRefused = errors.New("peer: refused unprocessed")
	// ErrRemote wraps the text of an error returned by the peer's handler.
	ErrRemote = errors.New("peer: handler failed")
)
