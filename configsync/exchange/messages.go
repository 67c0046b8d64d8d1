package exchange

import (
	"github.com/fireflygate/fireflygate/configsync"
	"github.com/fireflygate/fireflygate/peer"
)

// Methods between entry hosts.
const (
	// methodVersion asks a peer for its versions and tells it the caller's.
	methodVersion peer.Method = "config.version"
	// methodOffer sends a configuration to a peer.
	methodOffer peer.Method = "config.offer"
	// methodFetch requests the newest configuration that a peer has.
	methodFetch peer.Method = "config.fetch"
)

// versionMessage tells which versions a host has.
type versionMessage struct {
	// Version is the version in force.
	Version uint64 `msgpack:"v"`
	// Known is false while no version is in force. Releases that don't send it send
	// version 0 then.
	Known bool `msgpack:"k,omitempty"`
	// Fetches is set if the caller itself requests a newer version. To other callers
	// it must be sent.
	Fetches bool `msgpack:"f,omitempty"`
	// Held is a newer version that the host has and that isn't in force yet, 0 for none.
	Held uint64 `msgpack:"h,omitempty"`
	// Confirmed is set if Version is known to be held by most hosts.
	Confirmed bool `msgpack:"c,omitempty"`
	// Waits is set by hosts that put a version into force once most hosts hold it.
	// Others, also those of releases that don't send it, put it into force at once and
	// must not get it before.
	Waits bool `msgpack:"w,omitempty"`
	// Hosts is the number of hosts in the host's membership list, 0 if unknown.
	Hosts int `msgpack:"n,omitempty"`
}

// known reports whether the host has a version.
func (m versionMessage) known() bool { return m.Known || m.Version > 0 || m.Held > 0 }

// report returns the versions that the message tells.
func (m versionMessage) report() configsync.Report {
	return configsync.Report{InForce: m.Version, Held: max(m.Version, m.Held), Confirmed: m.Confirmed, Hosts: m.Hosts}
}

// sharedWith returns the newest version that the host may send to another one.
func (m versionMessage) sharedWith(other versionMessage) uint64 {
	if other.Waits {
		return m.report().Held
	}
	return m.Version
}

// fetchReply is the configuration that a peer has. Known is false while the peer has
// none.
type fetchReply struct {
	Known bool         `msgpack:"k"`
	Offer offerMessage `msgpack:"o"`
}
