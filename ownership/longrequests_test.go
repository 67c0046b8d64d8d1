package ownership

import (
	"testing"
	"time"
)

const (
	// longRequestSeeds is the number of seeds of TestDropDoesNotEndEarlierRequests.
	longRequestSeeds = 30
	// longMaxRun is the longest request of the first owner in that test; later
	// owners have the default.
	longMaxRun = 30 * time.Second
)

// simulateLongRequests ends the owner of an endpoint shard whose requests may
// run for long. A later process of its host, with shorter requests, succeeds
// it, ends as well and is dropped from the list. A third owner takes over once
// the table answers again.
func simulateLongRequests(seed uint64, f flaws) *simCluster {
	c := newSimCluster(seed, 4+int(seed%3), 2, f)
	c.maxLengthRequests = true
	c.run(15*time.Second + c.between(0, 3000))
	const shard = "ep/s0/0"
	h := c.ownerOf(shard)
	if h == nil {
		return c
	}
	h.restartWith(longMaxRun)
	// The new process waits for the longest requests by its own settings.
	c.run(longMaxRun + 10*time.Second + c.between(0, 3000))
	h.restartWith(c.maxRun)
	for range 100 {
		c.run(20 * time.Millisecond)
		if c.ownerOf(shard) == h {
			break
		}
	}
	h.alive = false
	c.setListed(h, false)
	c.tableDown = true
	c.run(c.between(14000, 18000))
	c.tableDown = false
	c.run(20 * time.Second)
	return c
}

// restartWith ends a host's process and starts another one with a maximum run
// time of requests.
func (h *simHost) restartWith(maxRun time.Duration) {
	h.alive = false
	h.maxRun = maxRun
	h.restart()
}

// TestDropDoesNotEndEarlierRequests checks that an owner waits for the requests
// of all earlier owners, although the list has dropped the last of them long
// enough ago for its own requests.
func TestDropDoesNotEndEarlierRequests(t *testing.T) {
	for seed := range uint64(longRequestSeeds) {
		if c := simulateLongRequests(seed, flaws{}); c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
	}
}
