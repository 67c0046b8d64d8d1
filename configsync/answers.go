package configsync

import "time"

// answerValidity is how long a host relies on a peer's answer, counted from its
// question. Later the peer may have a newer version, or a process that has none.
const answerValidity = 2 * time.Second

// answer is a peer's answer to a question asked at a time.
type answer struct {
	report Report
	asked  time.Time
}

// valid reports whether the answer may be relied on.
func (a answer) valid(now time.Time) bool { return now.Sub(a.asked) <= answerValidity }

// answers are the newest answers of peers by name.
type answers map[string]answer

// record records an answer unless a newer one is known.
func (a answers) record(peer string, r Report, asked time.Time) {
	if known, ok := a[peer]; !ok || !asked.Before(known.asked) {
		a[peer] = answer{report: r, asked: asked}
	}
}

// hosts returns the number of hosts in the longest of the membership lists, that of this
// host and those of its peers, by valid answers.
func (a answers) hosts(peers []string, now time.Time) int {
	hosts := len(peers) + 1
	for _, p := range peers {
		if known, ok := a[p]; ok && known.valid(now) {
			hosts = max(hosts, known.report.Hosts)
		}
	}
	return hosts
}

// majority returns the smallest number that is more than half of hosts.
func (a answers) majority(peers []string, now time.Time) int { return a.hosts(peers, now)/2 + 1 }
