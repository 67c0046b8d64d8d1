//go:build !race

// These runs are of pure code, each world on one goroutine, so the race
// detector has nothing to find in them and takes seven times as long. CI runs
// them without it; bounds_race_test.go has a few of them with it.

package ownership

import (
	"strings"
	"testing"
	"time"
)

// runs is how many seeds TestBoundsHold tries.
const runs = 1000

func TestBoundsHold(t *testing.T) {
	var dispatches, commits, seizures, renewals, late int
	for _, w := range simulateAll(runs, flaws{}, false) {
		if w.wrong != "" {
			t.Error(w.wrong)
		}
		dispatches += w.dispatches
		commits += w.commits
		seizures += w.seizures
		renewals += w.renewals
		late += w.lateRenewals
	}
	t.Logf("%d runs, %d dispatches, %d commits, %d seizures, %d renewals of task leases, %d of them under a succeeded owner",
		runs, dispatches, commits, seizures, renewals, late)
	if seizures < runs {
		t.Errorf("only %d seizures: the faults do not reach the protocol", seizures)
	}
}

// TestBoundsNeedEachMechanism switches one mechanism off at a time; the check
// must notice within some seeds.
func TestBoundsNeedEachMechanism(t *testing.T) {
	broken := map[string]struct {
		flaws    flaws
		unfenced bool
		// tasks looks at the renewals of task leases alone.
		tasks bool
	}{
		"no wait for the longest run":             {flaws: flaws{noDrainWait: true}},
		"no half shares":                          {flaws: flaws{noHalfShare: true}},
		"rows not read again after a lapse":       {flaws: flaws{noReread: true}},
		"claim without the lapsed session":        {flaws: flaws{noSessionCondition: true}},
		"promises not kept":                       {flaws: flaws{ignorePromises: true}},
		"second succession does not wait":         {flaws: flaws{noSecondWait: true}},
		"a dropped owner has no time to learn it": {flaws: flaws{noDropWait: true}},
		"task leases renewed on a lapsed promise": {flaws: flaws{ignorePromises: true}, tasks: true},
		"bounds of others ignored":                {flaws: flaws{ownBounds: true}},
		"move without drain":                      {flaws: flaws{noDrainOnMove: true}},
		"commits without the row's condition":     {unfenced: true},
	}
	for name, b := range broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				w := simulate(seed, b.flaws, b.unfenced)
				if w.wrong != "" && (!b.tasks || strings.Contains(w.wrong, leasesRenewed)) {
					t.Logf("seed %d: %s", seed, w.wrong)
					return
				}
			}
			t.Errorf("not noticed in %d runs", runs)
		})
	}
}

// simulateLostAnswer parts a host from the table soon after the answer to a
// renewal of its session was lost and the renewal read back. No promise covers
// the time, since the host is parted from the others throughout.
func simulateLostAnswer(seed uint64, f flaws) *world {
	w := newWorld(seed, 3, 4, f)
	w.bursts = true
	w.run(20*time.Second + w.between(0, 5000))
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	h.cutPeers(30 * time.Second)
	h.deaf, h.readsCut = 100, true
	w.run(w.between(2000, 3500))
	h.deaf, h.readsCut = 0, false
	w.run(w.between(0, 1300))
	h.cutStore(20 * time.Second)
	w.run(20 * time.Second)
	return w
}

func TestLostAnswerNeedsExpiryFromSending(t *testing.T) {
	noticed := 0
	for seed := range uint64(200) {
		if w := simulateLostAnswer(seed, flaws{}); w.wrong != "" {
			t.Errorf("seed %d: %s", seed, w.wrong)
		}
		if w := simulateLostAnswer(seed, flaws{expiryFromAnswer: true}); w.wrong != "" {
			noticed++
		}
	}
	t.Logf("expiry counted from the answer is noticed in %d of 200 runs", noticed)
	if noticed == 0 {
		t.Error("not noticed")
	}
}
