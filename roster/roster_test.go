package roster

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// list returns a list of n entry hosts, n endpoints and n workers.
func list(revision uint64, n int) infra.MemberList {
	l := infra.MemberList{Revision: revision}
	for i := range n {
		zone := fmt.Sprint("z", i%3)
		l.Members = append(l.Members,
			infra.Member{Kind: infra.EntryHost, Name: fmt.Sprint("h", i), Zone: zone, State: infra.Live},
			infra.Member{Kind: infra.Endpoint, Name: fmt.Sprint("e", i), Service: "s", Zone: zone, State: infra.Live},
			infra.Member{Kind: infra.Worker, Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/4), Zone: "z", State: infra.Live})
	}
	return l
}

var lease = settings.Default().Lease

func TestShardsKeepRacksTogether(t *testing.T) {
	r := Build(Roster{}, list(1, 40), lease)
	count := 0
	for _, shard := range r.Shards() {
		count += len(r.Members(shard))
		racks := map[string]int{}
		for _, m := range r.Members(shard) {
			racks[m.Rack]++
		}
		for rack, n := range racks {
			if rack != "" && n != 4 {
				t.Errorf("%s has %d of 4 workers of rack %s", shard, n, rack)
			}
		}
	}
	if count != 80 || !slices.IsSorted(r.Shards()) || !slices.Equal(r.Services(), []string{"s"}) {
		t.Errorf("%d members in shards %v, want 80 members in sorted shards and only service s", count, r.Shards())
	}
}

func TestNewHostMovesFewShards(t *testing.T) {
	small, big := Build(Roster{}, list(1, 9), lease), Build(Roster{}, list(1, 10), lease)
	moved, total := 0, 1000
	for i := range total {
		shard := fmt.Sprint("ep/x/", i)
		a, b := small.PreferredOwners(shard)[0], big.PreferredOwners(shard)[0]
		if a != b && b != "h9" {
			t.Fatalf("%s moved from %s to %s, not to the new host", shard, a, b)
		}
		if a != b {
			moved++
		}
	}
	if moved < total/20 || moved > total/5 {
		t.Errorf("%d of %d shards moved to the new host, want about a tenth", moved, total)
	}
}

func TestSuccessorsSpreadOverZones(t *testing.T) {
	r := Build(Roster{}, list(1, 9), lease)
	for _, shard := range r.Shards() {
		owner := r.PreferredOwners(shard)[0]
		got := r.Successors(shard, owner, 2)
		zones := map[string]bool{zoneOf(r, owner): true, zoneOf(r, got[0]): true, zoneOf(r, got[1]): true}
		if len(zones) != 3 || slices.Contains(got, owner) {
			t.Errorf("%s: owner %s has successors %v, want three different zones", shard, owner, got)
		}
		if all := r.Successors(shard, owner, 99); len(all) != 8 {
			t.Errorf("%s: %d successors, want 8", shard, len(all))
		}
	}
}

func zoneOf(r Roster, host string) string {
	m, _ := r.Member(host)
	return m.Zone
}

func TestOlderListIsIgnored(t *testing.T) {
	leaving := list(5, 3)
	leaving.Members[0].State = infra.Leaving
	r := Build(Build(Roster{}, leaving, lease), list(4, 3), lease)
	if r.Revision() != 5 || r.LiveHost("h0") || !r.Listed("h0") {
		t.Error("an older list made a leaving host live")
	}
	if r = Build(r, list(6, 3), lease); !r.LiveHost("h0") {
		t.Error("a newer list did not make the host live")
	}
}

func TestMassRemovalNeedsConfirmation(t *testing.T) {
	previous := Build(Roster{}, list(1, 10), lease)
	cases := map[string]struct {
		remaining int
		// confirmedAfter is the number of lists after which the removals
		// apply; 0 for never.
		confirmedAfter int
	}{"a tenth removed": {9, 1}, "half removed": {5, 1}, "most removed": {2, RemovalConfirmations}, "all removed": {0, 0}}
	for name, tc := range cases {
		r := previous
		for read := 1; read <= RemovalConfirmations+5; read++ {
			r = Build(r, list(2, tc.remaining), lease)
			confirmed := tc.confirmedAfter != 0 && read >= tc.confirmedAfter
			if removed := !r.Listed("h9"); removed != confirmed || (len(r.UnconfirmedRemovals()) == 0) != confirmed {
				t.Fatalf("%s: after %d lists: removed %v, %d unconfirmed removals", name, read, removed, len(r.UnconfirmedRemovals()))
			}
		}
	}
}

// TestWorkerShardsPreferNearbyHosts checks that shards of workers prefer hosts
// of their zone, then of their region, and that endpoint shards are spread over
// all zones.
func TestWorkerShardsPreferNearbyHosts(t *testing.T) {
	l := infra.MemberList{Revision: 1}
	for i := range 12 {
		region, zone := fmt.Sprint("r", i%4/2), fmt.Sprint("z", i%4)
		for kind, name := range map[infra.MemberKind]string{infra.EntryHost: "h", infra.Worker: "w", infra.Endpoint: "e"} {
			l.Members = append(l.Members, infra.Member{
				Kind: kind, Name: fmt.Sprint(name, i), Region: region, Zone: zone, Rack: fmt.Sprint("k", i), Service: "s", State: infra.Live,
			})
		}
	}
	r := Build(Roster{}, l, lease)
	firsts := map[string]bool{}
	for _, shard := range r.Shards() {
		order := r.PreferredOwners(shard)
		if IsEndpointShard(shard) {
			firsts[zoneOf(r, order[0])] = true
			continue
		}
		for i, h := range order {
			host, _ := r.Member(h)
			want := min(i/3, 2)
			if got := distance(r.Members(shard)[0], host); got != want {
				t.Errorf("%s: host %s at index %d is at distance %d, want %d", shard, h, i, got, want)
			}
		}
	}
	if len(firsts) != 4 {
		t.Errorf("endpoint shards prefer hosts in the zones %v, want all 4", firsts)
	}
}
