package relay_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/relay"
)

var detourHosts = []relay.Host{
	{Address: "a1", Zone: "a", Cores: 1},
	{Address: "a2", Zone: "a", Cores: 1},
	{Address: "a3", Zone: "a", Cores: 0.2},
	{Address: "b1", Zone: "b", Cores: 1},
	{Address: "b2", Zone: "b", Cores: 1},
}

// anyHost accepts all hosts.
func anyHost(string) bool { return true }

// TestDetourTriesEachHost guards against a worker that stays cut off although one of the
// hosts reaches it: a round tries different hosts, those of the worker's zone first, and
// then the usual path.
func TestDetourTriesEachHost(t *testing.T) {
	now := time.Unix(100, 0)
	var d relay.Detours
	d.SetHosts(detourHosts)
	if got := d.HostFor("w", "a", now, anyHost); got != "" {
		t.Errorf("worker that answers: through %q, want directly", got)
	}
	if !d.LostOnUsualPath("w", now) || d.LostOnUsualPath("w", now) {
		t.Error("only the first loss begins a round")
	}
	tried := map[string]bool{}
	for i := range 4 {
		host := d.HostFor("w", "a", now, anyHost)
		if inZone := host == "a1" || host == "a2"; inZone != (i < 2) || tried[host] {
			t.Errorf("try %d: through %q after %v", i, host, tried)
		}
		tried[host] = true
		d.Lost("w")
	}
	if got := d.HostFor("w", "a", now, anyHost); got != "" {
		t.Errorf("after a round: through %q, want the usual path", got)
	}
	d.LostOnUsualPath("w", now)
	if d.HostFor("w", "a", now, anyHost) == "" {
		t.Error("no second round after the usual path was lost again")
	}
}

// TestDetourEnds guards against workers that stay on a detour for ever: the usual path is
// tried again after a time, also while the host of the detour answers.
func TestDetourEnds(t *testing.T) {
	now := time.Unix(100, 0)
	var d relay.Detours
	d.SetHosts(detourHosts)
	d.LostOnUsualPath("w", now)
	d.LostOnUsualPath("other", now)
	if d.HostFor("w", "a", now.Add(9*time.Second), anyHost) == "" {
		t.Error("the usual path is tried after 9 s, want 10 s")
	}
	if got := d.HostFor("w", "a", now.Add(10*time.Second), anyHost); got != "" {
		t.Errorf("after 10 s through %q, want the usual path", got)
	}
	d.AnsweredOnUsualPath("w")
	if got := d.HostFor("w", "a", now, anyHost); got != "" || d.Count() != 1 {
		t.Errorf("through %q after an answer on the usual path; %d workers on detours", got, d.Count())
	}
	d.Forget(func(string) bool { return false })
	if d.Count() != 0 || d.Addresses() != nil {
		t.Errorf("%d workers, hosts %v after all workers left", d.Count(), d.Addresses())
	}
}

// TestDetourAvoidsUnresponsiveHosts checks that hosts that don't answer are left out.
func TestDetourAvoidsUnresponsiveHosts(t *testing.T) {
	now := time.Unix(100, 0)
	var d relay.Detours
	d.SetHosts(detourHosts)
	d.LostOnUsualPath("w", now)
	if got := d.HostFor("w", "a", now, func(a string) bool { return a == "b2" }); got != "b2" {
		t.Errorf("through %q, want the only usable host", got)
	}
	if got := d.HostFor("w", "a", now, func(string) bool { return false }); got != "" {
		t.Errorf("through %q, want the usual path without a usable host", got)
	}
}
