package control_test

import "testing"

// raiseTokens makes all workers see a token of a later owner.
func (f *fleet) raiseTokens() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.fence(1 << 40)
	}
}

// TestOwnerEndsOnceWorkerRefusesIt guards against an owner cut from the store that goes
// on giving orders though a worker's refusal shows that it has a successor.
func TestOwnerEndsOnceWorkerRefusesIt(t *testing.T) {
	c := newCluster(t, 0, 2)
	table := &hangingTable{Table: c.table}
	h := c.start("host", table)
	c.submit(h, job("job", 1))
	<-c.fleet.started
	table.on.Store(true)
	c.fleet.raiseTokens()
	c.eventually("the refused owner has ended", func() bool { return !h.node.Owns() })
}
