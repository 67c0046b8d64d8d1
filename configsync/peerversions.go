package configsync

import (
	"math/rand/v2"
	"slices"
	"time"
)

// PeerVersions records which versions each peer is known to have.
type PeerVersions struct {
	// peers are the names of all peers, known the newest versions that each reported. A
	// new PeerVersions knows no membership list: known is nil.
	peers   []string
	known   map[string]Report
	answers answers
}

// SetPeers replaces the names of the peers.
func (p *PeerVersions) SetPeers(peers []string) {
	known := make(map[string]Report, len(peers))
	kept := make(answers, len(peers))
	for _, name := range peers {
		known[name] = p.known[name]
		if a, ok := p.answers[name]; ok {
			kept[name] = a
		}
	}
	p.peers, p.known, p.answers = peers, known, kept
}

// Peers returns the names of all peers.
func (p *PeerVersions) Peers() []string { return slices.Clone(p.peers) }

// Hosts returns the number of hosts in the membership list, this one included, 0 if no
// list is known.
func (p *PeerVersions) Hosts() int {
	if p.known == nil {
		return 0
	}
	return len(p.peers) + 1
}

// Versions returns the version in force on each peer, 0 if unknown.
func (p *PeerVersions) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(p.known))
	for name, r := range p.known {
		versions[name] = r.InForce
	}
	return versions
}

// Record records what a peer has reported. It ignores unknown peers.
func (p *PeerVersions) Record(peer string, r Report) {
	if known, ok := p.known[peer]; ok {
		p.known[peer] = Report{InForce: max(known.InForce, r.InForce), Held: max(known.Held, r.Held)}
	}
}

// RecordAnswer records a peer's answer to a question that this host asked at a time.
func (p *PeerVersions) RecordAnswer(peer string, r Report, asked time.Time) {
	p.Record(peer, r)
	if _, ok := p.known[peer]; ok {
		p.answers.record(peer, r, asked)
	}
}

// HeldByMost reports whether most hosts hold a version that this one holds, by answers
// that are valid.
func (p *PeerVersions) HeldByMost(version uint64, now time.Time) bool {
	if p.known == nil {
		return false
	}
	holders := 1
	for _, peer := range p.peers {
		if p.holds(peer, version, now) {
			holders++
		}
	}
	return holders >= p.answers.majority(p.peers, now)
}

// holds reports whether a peer holds a version by a valid answer.
func (p *PeerVersions) holds(peer string, version uint64, now time.Time) bool {
	a, ok := p.answers[peer]
	return ok && a.valid(now) && a.report.Held >= version
}

// Uncounted returns in random order the peers that don't hold a version by a valid
// answer.
func (p *PeerVersions) Uncounted(random *rand.Rand, version uint64, now time.Time) []string {
	left := slices.DeleteFunc(slices.Clone(p.peers), func(peer string) bool { return p.holds(peer, version, now) })
	return sample(random, left, len(left))
}

// Any returns up to n peers in random order.
func (p *PeerVersions) Any(random *rand.Rand, n int) []string {
	return sample(random, slices.Clone(p.peers), n)
}

// Behind returns up to n peers in random order that aren't known to have the versions of
// a report: the one that it holds, and in force one that is confirmed.
func (p *PeerVersions) Behind(random *rand.Rand, n int, mine Report) []string {
	behind := slices.DeleteFunc(slices.Clone(p.peers), func(peer string) bool {
		known := p.known[peer]
		return known.Held >= mine.Held && (!mine.Confirmed || known.InForce >= mine.InForce)
	})
	return sample(random, behind, n)
}

// sample shuffles names and returns up to n of them.
func sample(random *rand.Rand, names []string, n int) []string {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}
