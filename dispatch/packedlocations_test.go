package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPackedLocationsAreComplete guards against a run whose location a later owner doesn't
// learn of, and against a panic on a damaged row.
func TestPackedLocationsAreComplete(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var locations []RunLocation
	for occurrence := range 3 {
		for st := range 4 {
			for index := range 200 {
				if random.IntN(3) > 0 {
					locations = append(locations, RunLocation{Occurrence: occurrence, Step: st, Index: index, WorkerHash: random.Uint32N(50)})
				}
			}
		}
	}
	packed := packLocations(locations)
	got, err := unpackLocations(packed)
	if err != nil || !slices.Equal(got, locations) {
		t.Fatalf("%d locations unpacked, err %v, want the %d packed", len(got), err, len(locations))
	}
	for end := range packed {
		if all, err := unpackLocations(packed[:end]); err == nil && len(all) == len(locations) {
			t.Errorf("the first %d of %d bytes hold all locations", end, len(packed))
		}
	}
	for range 2000 {
		damaged := slices.Clone(packed)
		damaged[random.IntN(len(damaged))] ^= byte(1 + random.IntN(255))
		_, _ = unpackLocations(damaged) // must not panic
	}
}
