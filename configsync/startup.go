package configsync

import "time"

// Startup decides which version a host may put into force that starts while the store
// can't be read. Its process may replace one that had the newest version in force, and
// any peer may be the only other host that has it. So the host needs the answers of all
// its peers, and takes the newest version among them. A peer that has no version itself
// doesn't count: it may be in the same position. It takes none that is older than one
// which the store is known to have accepted, as that one may have been in force here.
// The zero value has no answers.
type Startup struct {
	answers answers
	// accepted is the newest version that the store is known to have accepted.
	accepted uint64
}

// Record records a peer's answer to a question that was asked at a time.
func (s *Startup) Record(peer string, r Report, asked time.Time) {
	if s.answers == nil {
		s.answers = answers{}
	}
	s.answers.record(peer, r, asked)
}

// Accept records that the store has accepted a version.
func (s *Startup) Accept(version uint64) { s.accepted = max(s.accepted, version) }

// Missing returns those of the peers whose answer is missing or no longer valid.
func (s *Startup) Missing(peers []string, now time.Time) []string {
	var missing []string
	for _, p := range peers {
		if a, ok := s.answers[p]; !ok || !a.valid(now) {
			missing = append(missing, p)
		}
	}
	return missing
}

// Newest returns a peer with the newest version if the host may put that version into
// force, and false while an answer is missing, the version is older than one that was
// accepted, or the host knows no peer.
func (s *Startup) Newest(peers []string, now time.Time) (peer string, version uint64, ok bool) {
	if len(peers) == 0 || len(s.Missing(peers, now)) > 0 {
		return "", 0, false
	}
	for _, p := range peers {
		if held := s.answers[p].report.Held; !ok || held > version {
			peer, version, ok = p, held, true
		}
	}
	if version < s.accepted {
		return "", 0, false
	}
	return peer, version, ok
}
