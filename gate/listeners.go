package gate

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/settings"
)

// Listeners are the listening sockets of one entry host.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen listens on the addresses in the settings. On an error it closes the
// listeners that are already open.
func Listen(h settings.Host) (Listeners, error) {
	var l Listeners
	var err error
	for _, one := range []struct {
		address string
		to      *net.Listener
	}{{h.Listen, &l.Callers}, {h.Operators, &l.Operators}, {h.Peer, &l.Peers}} {
		*one.to, err = net.Listen("tcp", one.address)
		if err != nil {
			l.Close()
			return Listeners{}, errors.Wrap(err, "listen")
		}
	}
	return l, nil
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, one := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}
