package gate

import (
	"context"
	"sync"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// methodConfigFetch asks a peer for what it has in force.
const methodConfigFetch peer.Method = "config.fetch"

// fetchFanout bounds how many peers a starting host asks at a time.
const fetchFanout = 16

// fetchReply is what a peer has in force; a starting one has nothing.
type fetchReply struct {
	Known bool         `msgpack:"k"`
	Offer offerMessage `msgpack:"o"`
}

// fetch finds a starting host its configuration while the store does not
// answer. A single peer may have been parted from the others and be behind, so
// the newest of what most of them have is taken: an accepted version reaches
// all that are joined within seconds.
func (s *spreader) fetch(ctx context.Context) {
	if !s.watcher.LastReadFailed() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	hosts := s.pick(fetchFanout, anyVersion)
	var mu sync.Mutex
	var newest fetchReply
	answered := 0
	s.each(hosts, func(host string) {
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
	if o, err := newest.Offer.offer(); err == nil {
		s.watcher.ApplyIfNewer(o)
	}
}

func (s *spreader) handleFetch(context.Context, string, func(any) error) (any, error) {
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
