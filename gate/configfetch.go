package gate

import (
	"context"
	"sync"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// methodConfigFetch requests the configuration in force on a peer.
const methodConfigFetch peer.Method = "config.fetch"

// fetchFanout is the largest number of peers that a starting host queries.
const fetchFanout = 16

// fetchReply is the configuration in force on a peer. Known is false while the
// peer is starting.
type fetchReply struct {
	Known bool         `msgpack:"k"`
	Offer offerMessage `msgpack:"o"`
}

// fetchFromPeers applies the newest configuration known to peers while the host
// starts and the store is unavailable. It needs replies from a majority of the
// queried peers, because a single peer may be partitioned and have an old
// version.
func (s *configSync) fetchFromPeers(ctx context.Context) {
	if !s.watcher.LastReadFailed() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	hosts := s.pickPeers(fetchFanout, anyVersion)
	var mu sync.Mutex
	var newest fetchReply
	answered := 0
	s.forEach(hosts, func(host string) {
		var reply fetchReply
		r := s.transport.Call(ctx, host, methodConfigFetch, versionMessage{}, &reply)
		if r.Kind != outcome.Answered {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answered++
		if reply.Known && (!newest.Known || reply.Offer.Head.Version > newest.Offer.Head.Version) {
			newest = reply
		}
	})
	if 2*answered <= len(hosts) || !newest.Known {
		return
	}
	if o, err := newest.Offer.unpack(); err == nil {
		s.watcher.ApplyIfNewer(o)
	}
}

func (s *configSync) handleFetch(context.Context, string, func(any) error) (any, error) {
	current, ok := s.watcher.Current()
	if !ok {
		return fetchReply{}, nil
	}
	packed, err := packOffer(configstore.Offer{Head: current.Head, Content: current.Content})
	if err != nil {
		return nil, err
	}
	return fetchReply{Known: true, Offer: packed}, nil
}
