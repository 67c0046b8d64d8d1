package ownership

import (
	"testing"
	"time"
)

// simulateDrop has the list drop a host that is paused and parted from the
// table and the others, and list it again before it wakes.
func simulateDrop(seed uint64, f flaws) *world {
	w := newWorld(seed, 4, 4, f)
	w.bursts = true
	w.run(20*time.Second + w.between(0, 5000))
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	h.cutStore(60 * time.Second)
	h.cutPeers(60 * time.Second)
	h.pausedUntil = w.now.Add(30 * time.Second)
	w.enlist(h, false)
	w.run(w.between(22000, 26000))
	w.enlist(h, true)
	w.run(25 * time.Second)
	return w
}

func TestDroppedHostDoesNotResumeUse(t *testing.T) {
	const seeds = 50
	noticed := 0
	for seed := range uint64(seeds) {
		if w := simulateDrop(seed, flaws{}); w.wrong != "" {
			t.Errorf("seed %d: %s", seed, w.wrong)
		}
		if w := simulateDrop(seed, flaws{resumePaused: true}); w.wrong != "" {
			noticed++
		}
	}
	t.Logf("noticed in %d of %d runs without the mechanism", noticed, seeds)
	if noticed == 0 {
		t.Error("not noticed")
	}
}
