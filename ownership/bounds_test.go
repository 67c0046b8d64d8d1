//go:build !race

// Each simulation runs on one goroutine, so that the race detector cannot find
// anything within one and only makes it slower. CI runs these tests without it;
// bounds_race_test.go runs a few seeds with it.

package ownership

import (
	"strings"
	"testing"
	"time"
)

// runs is the number of seeds that TestBoundsHold runs.
const runs = 1000

// TestBoundsHold checks with many seeds that no shard exceeds its capacity, that
// no previous owner renews task leases or commits too late, and that every shard
// has an owner after the faults.
func TestBoundsHold(t *testing.T) {
	var dispatches, commits, seizures, renewals, late int
	for _, c := range simulateAll(runs, flaws{}, false) {
		if c.violation != "" {
			t.Error(c.violation)
		}
		dispatches += c.dispatches
		commits += c.commits
		seizures += c.seizures
		renewals += c.renewals
		late += c.lateRenewals
	}
	t.Logf("%d runs, %d dispatches, %d commits, %d seizures, %d renewals of task leases, %d of them under a succeeded owner",
		runs, dispatches, commits, seizures, renewals, late)
	if seizures < runs {
		t.Errorf("only %d seizures, want at least one per run: the faults have too little effect", seizures)
	}
}

// TestEachMechanismIsNeeded disables one mechanism at a time, and checks that
// the simulation then detects a violation with some seed.
func TestEachMechanismIsNeeded(t *testing.T) {
	broken := map[string]struct {
		flaws    flaws
		unfenced bool
		// tasksOnly counts only violations in the renewal of task leases.
		tasksOnly bool
	}{
		"no wait for the longest run":                     {flaws: flaws{noDrainWait: true}},
		"no half shares":                                  {flaws: flaws{noHalfShare: true}},
		"rows not read again after a lapse":               {flaws: flaws{noReread: true}},
		"claim without the session's condition":           {flaws: flaws{noSessionCondition: true}},
		"promises ignored":                                {flaws: flaws{ignorePromises: true}},
		"second seizure does not wait":                    {flaws: flaws{noSecondWait: true}},
		"no wait after an owner is dropped from the list": {flaws: flaws{noDropWait: true}},
		"task leases renewed after a promise lapsed":      {flaws: flaws{ignorePromises: true}, tasksOnly: true},
		"bounds of others ignored":                        {flaws: flaws{ownBounds: true}},
		"move without drain":                              {flaws: flaws{noDrainOnMove: true}},
		"commits without the row's condition":             {unfenced: true},
	}
	for name, b := range broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				c := simulate(seed, b.flaws, b.unfenced)
				if c.violation != "" && (!b.tasksOnly || strings.Contains(c.violation, leasesRenewed)) {
					t.Logf("seed %d: %s", seed, c.violation)
					return
				}
			}
			t.Errorf("no violation detected in %d runs", runs)
		})
	}
}

// simulateLostAnswer partitions a host from the table shortly after the answer
// to a renewal of its session was lost and the renewal was read back. The host
// is also partitioned from its peers, so that it gets no promises.
func simulateLostAnswer(seed uint64, f flaws) *simCluster {
	c := newSimCluster(seed, 3, 4, f)
	c.maxLengthRequests = true
	c.run(20*time.Second + c.between(0, 5000))
	h := c.hosts[c.rand.IntN(len(c.hosts))]
	h.partitionFromPeers(30 * time.Second)
	h.ackLossPercent, h.readsFail = 100, true
	c.run(c.between(2000, 3500))
	h.ackLossPercent, h.readsFail = 0, false
	c.run(c.between(0, 1300))
	h.partitionFromTable(20 * time.Second)
	c.run(20 * time.Second)
	return c
}

func TestLostAnswerExpiryCountsFromSending(t *testing.T) {
	detected := 0
	for seed := range uint64(200) {
		if c := simulateLostAnswer(seed, flaws{}); c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
		if c := simulateLostAnswer(seed, flaws{expiryFromAnswer: true}); c.violation != "" {
			detected++
		}
	}
	t.Logf("expiry counted from the answer: violation detected in %d of 200 runs", detected)
	if detected == 0 {
		t.Error("expiry counted from the answer: no violation detected in 200 runs")
	}
}
