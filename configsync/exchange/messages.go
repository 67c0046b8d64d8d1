package exchange

import "github.com/fireflygate/fireflygate/peer"

// Methods between entry hosts.
const (
	// methodVersion asks a peer for its version and tells it the caller's.
	methodVersion peer.Method = "config.version"
	// methodOffer sends a configuration to a peer.
	methodOffer peer.Method = "config.offer"
	// methodFetch requests the configuration in force on a peer.
	methodFetch peer.Method = "config.fetch"
)

// versionMessage is the version in force on a host.
type versionMessage struct {
	Version uint64 `msgpack:"v"`
	// Known is false while the host has no version. Releases that don't send it send
	// version 0 then.
	Known bool `msgpack:"k,omitempty"`
	// Fetches is set if the caller itself requests a newer version. To other callers
	// it must be sent.
	Fetches bool `msgpack:"f,omitempty"`
}

// known reports whether the host has a version.
func (m versionMessage) known() bool { return m.Known || m.Version > 0 }

// fetchReply is the configuration in force on a peer. Known is false while the peer has
// none.
type fetchReply struct {
	Known bool         `msgpack:"k"`
	Offer offerMessage `msgpack:"o"`
}
