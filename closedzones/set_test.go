package closedzones

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestApply(t *testing.T) {
	base := Set{Version: 10, Zones: []string{"b"}}
	for _, c := range []struct {
		name    string
		changes []Change
		through uint64
		want    Set
	}{
		{"nothing changed", nil, 12, Set{12, []string{"b"}}},
		{"closed", []Change{{"a", 11, true}}, 12, Set{12, []string{"a", "b"}}},
		{"opened", []Change{{"b", 11, false}}, 12, Set{12, nil}},
		{"closed and opened within one read", []Change{{"a", 11, true}, {"a", 12, false}}, 12, Set{12, []string{"b"}}},
		{"opened and closed again", []Change{{"b", 11, false}, {"b", 12, true}}, 12, Set{12, []string{"b"}}},
		{"included already", []Change{{"b", 9, false}, {"a", 10, true}}, 10, Set{10, []string{"b"}}},
		{"an older read", []Change{{"a", 5, true}}, 6, Set{10, []string{"b"}}},
		{"a read that overlaps", []Change{{"a", 9, true}, {"b", 11, false}}, 11, Set{11, nil}},
		{"unknown version", []Change{{"a", 0, true}}, 12, Set{12, []string{"a", "b"}}},
		{"two zones at once", []Change{{"c", 11, true}, {"a", 11, true}}, 11, Set{11, []string{"a", "b", "c"}}},
	} {
		if got := base.Apply(c.changes, c.through); got.Version != c.want.Version || !got.SameZones(c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
		if base.Version != 10 || !slices.Equal(base.Zones, []string{"b"}) {
			t.Fatalf("%s: the set that it applies to changed: %+v", c.name, base)
		}
	}
}

// TestAnyOrderOfReads applies reads of one history in random order, each of the changes
// since a version that was read before it, and expects the state of the newest.
func TestAnyOrderOfReads(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var history []Change
		states := []Set{{}}
		for v := uint64(1); v <= 12; v++ {
			c := Change{Zone: string(rune('a' + random.IntN(3))), Version: v, Closed: random.IntN(2) == 0}
			history = append(history, c)
			states = append(states, states[v-1].Apply([]Change{c}, v))
		}
		var got Set
		for range 40 {
			from := random.Uint64N(got.Version + 1)
			through := from + random.Uint64N(uint64(len(history))-from+1)
			got = got.Apply(history[from:through], through)
			if want := states[got.Version]; !got.SameZones(want) {
				t.Fatalf("seed %d: %+v at version %d, want %+v", seed, got.Zones, got.Version, want.Zones)
			}
		}
	}
}

func TestContains(t *testing.T) {
	s := Set{Version: 1, Zones: []string{"a", "c"}}
	for zone, want := range map[string]bool{"a": true, "b": false, "c": true, "": false} {
		if s.Contains(zone) != want {
			t.Errorf("Contains(%q) is %v, want %v", zone, !want, want)
		}
	}
	if s.NewerThan(s) || !s.NewerThan(Set{}) {
		t.Error("a set is newer than an older one only")
	}
}
