package peer

import "github.com/cockroachdb/errors"

var (
	// ErrUnknownPeer is returned for a host whose address is not known.
	ErrUnknownPeer = errors.New("peer: unknown host")
	// ErrUnreachable is returned when there is no connection to the host.
	ErrUnreachable = errors.New("peer: not connected")
	// ErrDialTimeout is the ErrUnreachable of a connection that wasn't opened in time,
	// rather than refused: the host may be alive and busy.
	ErrDialTimeout = errors.Wrap(ErrUnreachable, "no connection in time")
	// ErrBusy is returned when the limit on requests in flight or on queued
	// frames is reached.
	ErrBusy = errors.New("peer: too many requests")
	// ErrClosed is returned when the connection closed before the reply
	// arrived.
	ErrClosed = errors.New("peer: connection closed")
	// ErrFrame is returned for a frame that is too large, is corrupt or has an
	// unknown format.
	ErrFrame = errors.New("peer: invalid frame")
	// ErrHandshake is returned when the peer's hello or certificate is
	// rejected.
	ErrHandshake = errors.New("peer: handshake failed")
	// ErrRefused is returned when the peer refused a request without running
	// its handler.
	ErrRefused = errors.New("peer: request refused before it was processed")
	// ErrRemote wraps the text of an error returned by the peer's handler.
	ErrRemote = errors.New("peer: handler failed")
)
