package roster

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// list makes a list of n hosts, endpoints and workers.
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

func TestDivision(t *testing.T) {
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
		t.Errorf("%d members in %v", count, r.Shards())
	}
}

func TestPreferredMovesLittle(t *testing.T) {
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
		t.Errorf("%d of %d moved, a tenth expected", moved, total)
	}
}

func TestSuccessorsAreInOtherZones(t *testing.T) {
	r := Build(Roster{}, list(1, 9), lease)
	for _, shard := range r.Shards() {
		owner := r.PreferredOwners(shard)[0]
		got := r.Successors(shard, owner, 2)
		zones := map[string]bool{zoneOf(r, owner): true, zoneOf(r, got[0]): true, zoneOf(r, got[1]): true}
		if len(zones) != 3 || slices.Contains(got, owner) {
			t.Errorf("%s: %s is succeeded by %v", shard, owner, got)
		}
		if all := r.Successors(shard, owner, 99); len(all) != 8 {
			t.Errorf("%s: %d successors of 8", shard, len(all))
		}
	}
}

func zoneOf(r Roster, host string) string {
	m, _ := r.Member(host)
	return m.Zone
}

func TestOldListIsPassedOver(t *testing.T) {
	left := list(5, 3)
	left.Members[0].State = infra.Leaving
	r := Build(Build(Roster{}, left, lease), list(4, 3), lease)
	if r.Revision() != 5 || r.LiveHost("h0") || !r.Listed("h0") {
		t.Error("an older list brought a leaving host back")
	}
	if r = Build(r, list(6, 3), lease); !r.LiveHost("h0") {
		t.Error("a newer list did not")
	}
}

func TestShrinkingListIsDoubted(t *testing.T) {
	before := Build(Roster{}, list(1, 10), lease)
	cases := map[string]struct {
		left int
		// after is how many lists it takes until absences are believed, 0
		// for never.
		after int
	}{"a tenth gone": {9, 1}, "half gone": {5, 1}, "most gone": {2, RemovalConfirmations}, "all gone": {0, 0}}
	for name, tc := range cases {
		r := before
		for read := 1; read <= RemovalConfirmations+5; read++ {
			r = Build(r, list(2, tc.left), lease)
			believed := tc.after != 0 && read >= tc.after
			if gone := !r.Listed("h9"); gone != believed || (len(r.UnconfirmedRemovals()) == 0) != believed {
				t.Fatalf("%s: after %d lists gone is %v, doubted %d", name, read, gone, len(r.UnconfirmedRemovals()))
			}
		}
	}
}

// TestWorkersAreOwnedNearby checks the order of hosts for shards of workers,
// and that endpoint shards still spread over all of them.
func TestWorkersAreOwnedNearby(t *testing.T) {
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
				t.Errorf("%s: %s in place %d is at distance %d, want %d", shard, h, i, got, want)
			}
		}
	}
	if len(firsts) != 4 {
		t.Errorf("endpoint shards prefer the zones %v alone", firsts)
	}
}
