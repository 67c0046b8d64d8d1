package configsync

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// PeerVersions records the newest version that each peer is known to have in force.
type PeerVersions struct {
	// peers are the names of all peers, versions the version of each, 0 if unknown.
	peers    []string
	versions map[string]uint64
}

// SetPeers replaces the names of the peers.
func (p *PeerVersions) SetPeers(peers []string) {
	known := make(map[string]uint64, len(peers))
	for _, name := range peers {
		known[name] = p.versions[name]
	}
	p.peers, p.versions = peers, known
}

// Peers returns the names of all peers.
func (p *PeerVersions) Peers() []string { return slices.Clone(p.peers) }

// Versions returns the version of each peer.
func (p *PeerVersions) Versions() map[string]uint64 { return maps.Clone(p.versions) }

// Record records a version that a peer has reported. It ignores unknown peers.
func (p *PeerVersions) Record(peer string, version uint64) {
	if known, ok := p.versions[peer]; ok {
		p.versions[peer] = max(known, version)
	}
}

// Any returns up to n peers in random order.
func (p *PeerVersions) Any(random *rand.Rand, n int) []string {
	return sample(random, slices.Clone(p.peers), n)
}

// Behind returns up to n peers in random order that aren't known to have the version.
func (p *PeerVersions) Behind(random *rand.Rand, n int, version uint64) []string {
	behind := slices.DeleteFunc(slices.Clone(p.peers), func(peer string) bool { return p.versions[peer] >= version })
	return sample(random, behind, n)
}

// sample shuffles names and returns up to n of them.
func sample(random *rand.Rand, names []string, n int) []string {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}
