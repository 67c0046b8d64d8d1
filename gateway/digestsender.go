package gateway

import (
	"maps"
	"sync"
	"time"
)

// digestSender knows what each peer was told of the free slots.
type digestSender struct {
	mu    sync.Mutex
	peers map[string]*peerDigest
	// from is where the next turn begins in the list of peers.
	from int
}

// peerDigest is what one peer was told.
type peerDigest struct {
	sent    map[string]int
	whole   time.Time
	pending bool // a digest is on its way
	silent  bool // the last one was not taken
}

// digestChange says what a digest's end changed.
type digestChange uint8

const (
	digestsSame digestChange = iota
	digestsLost
	digestsBack
)

// turn returns the peers that get a digest now: all of them, or fanOut of
// them in turn if that is not 0. It forgets peers that are not in the list.
func (s *digestSender) turn(hosts []PeerHost, fanOut int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
	}
	maps.DeleteFunc(s.peers, func(name string, _ *peerDigest) bool { return !listed[name] })
	n := len(hosts)
	if fanOut > 0 {
		n = min(n, fanOut)
	}
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, hosts[(s.from+i)%len(hosts)].Name)
	}
	s.from += n
	return names
}

// next returns the digest that is due to a peer at now, or nil.
func (s *digestSender) next(now time.Time, host, zone string, free map[string]int) *freeDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(host)
	if p.pending {
		return nil
	}
	d := &freeDigest{Zone: zone, Free: free, Whole: true}
	if now.Sub(p.whole) < digestRefresh {
		d = &freeDigest{Zone: zone, Free: changes(p.sent, free)}
		if len(d.Free) == 0 {
			return nil
		}
	} else {
		p.whole = now
	}
	p.sent = free
	p.pending = true
	return d
}

func (s *digestSender) peer(host string) *peerDigest {
	if s.peers == nil {
		s.peers = map[string]*peerDigest{}
	}
	p := s.peers[host]
	if p == nil {
		p = &peerDigest{}
		s.peers[host] = p
	}
	return p
}

// changes returns what differs from what was sent.
func changes(sent, free map[string]int) map[string]int {
	delta := map[string]int{}
	for service, n := range free {
		if was, ok := sent[service]; !ok || was != n {
			delta[service] = n
		}
	}
	for service, n := range sent {
		if _, ok := free[service]; !ok && n != 0 {
			delta[service] = 0
		}
	}
	return delta
}

// told notes what a reply to a peer said of one service's free slots. The peer
// goes by the newest it heard, so a digest of changes has to be relative to it:
// else one that was told of none keeps away from free slots until the refresh.
func (s *digestSender) told(host, service string, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[host]
	if p == nil || p.sent == nil || p.sent[service] == free {
		return
	}
	// The map may be that of other peers too, and on its way to them.
	sent := maps.Clone(p.sent)
	sent[service] = free
	p.sent = sent
}

// done notes whether a peer took its digest. One that did not is sent a whole
// one next.
func (s *digestSender) done(host string, taken bool) digestChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(host)
	p.pending = false
	was := p.silent
	p.silent = !taken
	if !taken {
		p.whole = time.Time{}
	}
	switch {
	case !taken && !was:
		return digestsLost
	case taken && was:
		return digestsBack
	default:
		return digestsSame
	}
}
