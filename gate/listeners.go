package gate

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/ingress"
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
		listen  func(string) (net.Listener, error)
	}{{h.Listen, &l.Callers, ingress.Listen}, {h.Operators, &l.Operators, ingress.Listen}, {h.Peer, &l.Peers, listenTCP}} {
		*one.to, err = one.listen(one.address)
		if err != nil {
			l.Close()
			return Listeners{}, errors.Wrap(err, "listen")
		}
	}
	return l, nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, one := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}
