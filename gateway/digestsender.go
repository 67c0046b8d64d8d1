package gateway

import (
	"maps"
	"sync"
	"time"
)

// digestSender tracks the free slots that each peer has been sent.
type digestSender struct {
	mu    sync.Mutex
	peers map[string]*peerDigestState
	// nextPeer, modulo the number of peers, is the index at which the next
	// round begins.
	nextPeer int
}

// peerDigestState is the state of the digests to one peer.
type peerDigestState struct {
	sent           map[string]int
	completeSentAt time.Time
	pending        bool // a digest is in flight
	failing        bool // the last digest was not accepted
}

// digestTransition is the change that the result of a digest causes.
type digestTransition uint8

const (
	digestsUnchanged digestTransition = iota
	digestsFailing
	digestsRecovered
)

// nextPeers returns the peers that get a digest now: all of them, or the next
// fanOut if that is not 0. It drops the state of peers that are not listed.
func (s *digestSender) nextPeers(hosts []PeerHost, fanOut int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
	}
	maps.DeleteFunc(s.peers, func(name string, _ *peerDigestState) bool { return !listed[name] })
	n := len(hosts)
	if fanOut > 0 {
		n = min(n, fanOut)
	}
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, hosts[(s.nextPeer+i)%len(hosts)].Name)
	}
	s.nextPeer += n
	return names
}

// nextDigest returns the digest that is due for a peer and records it as sent
// and pending. It returns nil if a digest is in flight or nothing has changed.
func (s *digestSender) nextDigest(now time.Time, host, zone string, free map[string]int) *slotDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(host)
	if p.pending {
		return nil
	}
	d := &slotDigest{Zone: zone, Free: free, Complete: true}
	if now.Sub(p.completeSentAt) < digestRefresh {
		d = &slotDigest{Zone: zone, Free: digestDelta(p.sent, free)}
		if len(d.Free) == 0 {
			return nil
		}
	} else {
		p.completeSentAt = now
	}
	p.sent = free
	p.pending = true
	return d
}

func (s *digestSender) peer(host string) *peerDigestState {
	if s.peers == nil {
		s.peers = map[string]*peerDigestState{}
	}
	p := s.peers[host]
	if p == nil {
		p = &peerDigestState{}
		s.peers[host] = p
	}
	return p
}

// digestDelta returns the entries of free that differ from sent.
func digestDelta(sent, free map[string]int) map[string]int {
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

// recordReply records the free slots of a service that a reply reported to a
// peer. The next digest of changes must be relative to it, as the peer uses
// the latest count that it received.
func (s *digestSender) recordReply(host, service string, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[host]
	if p == nil || p.sent == nil || p.sent[service] == free {
		return
	}
	// The map may be shared with other peers' state and with digests in
	// flight.
	sent := maps.Clone(p.sent)
	sent[service] = free
	p.sent = sent
}

// recordResult records whether a peer accepted its digest. After a failure the
// next digest is complete.
func (s *digestSender) recordResult(host string, accepted bool) digestTransition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(host)
	p.pending = false
	wasFailing := p.failing
	p.failing = !accepted
	if !accepted {
		p.completeSentAt = time.Time{}
	}
	switch {
	case !accepted && !wasFailing:
		return digestsFailing
	case accepted && wasFailing:
		return digestsRecovered
	default:
		return digestsUnchanged
	}
}
