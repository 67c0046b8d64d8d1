package configsync

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestConfirmedOnceMostHostsHold checks when a version that this host holds may be put
// into force.
func TestConfirmedOnceMostHostsHold(t *testing.T) {
	now := time.Unix(100, 0)
	type told struct {
		peer   string
		report Report
		age    time.Duration
	}
	holds := Report{InForce: 1, Held: 2}
	for _, c := range []struct {
		name    string
		peers   []string
		answers []told
		want    bool
	}{
		{"no other host", []string{}, nil, true},
		{"no answer", []string{"a", "b"}, nil, false},
		{"half of the hosts", []string{"a", "b", "c"}, []told{{"a", holds, 0}}, false},
		{"most hosts", []string{"a", "b", "c"}, []told{{"a", holds, 0}, {"b", holds, 0}}, true},
		{"a newer version", []string{"a", "b"}, []told{{"a", Report{InForce: 1, Held: 3}, 0}}, true},
		{"older versions", []string{"a", "b"}, []told{{"a", has(1), 0}, {"b", has(1), 0}}, false},
		{"an answer that is no longer valid", []string{"a", "b"}, []told{{"a", holds, answerValidity + 1}}, false},
		{"a process that replaced the one that held it", []string{"a", "b"}, []told{{"a", holds, time.Second}, {"a", has(1), 0}}, false},
		{"a host that isn't listed", []string{"a", "b"}, []told{{"x", holds, 0}}, false},
		{"a peer's list is longer", []string{"a", "b"}, []told{{"a", Report{Held: 2, Hosts: 5}, 0}}, false},
	} {
		var peers PeerVersions
		var confirmation Confirmation
		if confirmation.Check(2, &peers, now) {
			t.Errorf("%s: confirmed before a membership list was known", c.name)
		}
		peers.SetPeers(c.peers)
		for _, a := range c.answers {
			peers.RecordAnswer(a.peer, a.report, now.Add(-a.age))
		}
		if got := confirmation.Check(2, &peers, now); got != c.want {
			t.Errorf("%s: confirmed %v, want %v", c.name, got, c.want)
		}
		if later := now.Add(time.Hour); confirmation.Check(2, &peers, later) != c.want || confirmation.Includes(2) != c.want {
			t.Errorf("%s: want the same later, when the answers are no longer valid", c.name)
		}
	}
}

// TestReportsAreNoAnswers checks that what a peer tells unasked doesn't count: it may
// be old.
func TestReportsAreNoAnswers(t *testing.T) {
	var peers PeerVersions
	peers.SetPeers([]string{"a"})
	peers.Record("a", has(2))
	if peers.HeldByMost(2, time.Unix(0, 0)) {
		t.Error("a report that wasn't asked for counts, want answers only")
	}
}

// TestFewHostsRecord checks that a version which the store wasn't told of is recorded
// there by few hosts, and by each host of a small site.
func TestFewHostsRecord(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var c Confirmation
	c.Record(7)
	if _, ok := c.ToRecord(7, 3, random); ok {
		t.Error("a version is recorded that is recorded already")
	}
	if version, ok := c.ToRecord(6, recorders, random); !ok || version != 7 {
		t.Errorf("got %d, %v; want 7 to be recorded by each of a few hosts", version, ok)
	}
	const hosts, rounds = 100, 1000
	n := 0
	for range rounds {
		if _, ok := c.ToRecord(6, hosts, random); ok {
			n++
		}
	}
	if want := rounds * recorders / hosts; n < want/2 || n > 2*want {
		t.Errorf("recorded in %d of %d reads, want about %d", n, rounds, want)
	}
}
