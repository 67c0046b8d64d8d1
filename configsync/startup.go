package configsync

import "time"

// startDelay is how long a host has run before it relies on most of its peers. Before,
// an answer of the process that it replaced may still count as that of a host which
// holds a version; that is so for answerValidity, and for what clocks differ.
const startDelay = answerValidity + 500*time.Millisecond

// Startup decides which version a host may take that starts while the store can't be
// read. Its process may replace one that had the newest version in force. So it takes
// the newest version that its peers hold, once
//
//   - all of them have answered, and none has a longer membership list, or
//   - most hosts have answered and the newest version in force among the answers is
//     confirmed. Versions are then put into force once most hosts hold them, so one that
//     was in force here is held by a host that has answered.
//
// A peer that has no version itself doesn't count: it may be in the same position. The
// host takes none that is older than one which the store is known to have accepted, as
// that one may have been in force here. The zero value has no answers.
type Startup struct {
	answers answers
	// began is when the process began.
	began time.Time
	// accepted is the newest version that the store is known to have accepted.
	accepted uint64
}

// Begin records when the process began.
func (s *Startup) Begin(at time.Time) { s.began = at }

// Record records a peer's answer to a question that was asked at a time.
func (s *Startup) Record(peer string, r Report, asked time.Time) {
	if s.answers == nil {
		s.answers = answers{}
	}
	s.answers.record(peer, r, asked)
}

// Accept records that the store has accepted a version.
func (s *Startup) Accept(version uint64) { s.accepted = max(s.accepted, version) }

// Missing returns those of the peers whose answer is missing or no longer counts.
func (s *Startup) Missing(peers []string, now time.Time) []string {
	var missing []string
	for _, p := range peers {
		if a, ok := s.answers[p]; !ok || !s.counts(a, now) {
			missing = append(missing, p)
		}
	}
	return missing
}

// counts reports whether an answer counts. Once startDelay has passed, only those to
// later questions do.
func (s *Startup) counts(a answer, now time.Time) bool {
	settled := s.began.Add(startDelay)
	return a.valid(now) && (now.Before(settled) || !a.asked.Before(settled))
}

// Newest returns a peer with the newest version if the host may take that version, and
// false while too few have answered, the version is older than one that was accepted, or
// the host knows no peer.
func (s *Startup) Newest(peers []string, now time.Time) (peer string, version uint64, ok bool) {
	if len(peers) == 0 || !s.allAnswered(peers, now) && !s.mostSuffice(peers, now) {
		return "", 0, false
	}
	for _, p := range peers {
		a, answered := s.answers[p]
		if !answered || !s.counts(a, now) {
			continue
		}
		if held := a.report.Held; !ok || held > version {
			peer, version, ok = p, held, true
		}
	}
	if version < s.accepted {
		return "", 0, false
	}
	return peer, version, ok
}

// allAnswered reports whether all peers have answered, and none has a longer membership
// list than this host.
func (s *Startup) allAnswered(peers []string, now time.Time) bool {
	return len(s.Missing(peers, now)) == 0 && s.answers.hosts(peers, now) == len(peers)+1
}

// mostSuffice reports whether most hosts have answered and the newest version in force
// among the answers is confirmed.
func (s *Startup) mostSuffice(peers []string, now time.Time) bool {
	if now.Before(s.began.Add(startDelay)) {
		return false
	}
	var answered int
	var newest Report
	for _, p := range peers {
		a, ok := s.answers[p]
		if !ok || !s.counts(a, now) {
			continue
		}
		answered++
		if r := a.report; r.InForce > newest.InForce || r.InForce == newest.InForce && r.Confirmed {
			newest = r
		}
	}
	return newest.Confirmed && answered >= s.answers.majority(peers, now)
}
