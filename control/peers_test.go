package control_test

import "testing"

// TestOwnerIsAmongPeers checks that a host without seeds knows the owner. The
// owner doesn't report itself among the hosts that it knows.
func TestOwnerIsAmongPeers(t *testing.T) {
	c := newCluster(t, 1, 1)
	owner := c.leader(c.hosts...)
	c.hosts = nil // the next host gets no seeds
	other := c.start("other", c.table)
	for _, h := range []*host{owner, other} {
		c.eventually(h.name+" knows the other host", func() bool { return len(h.node.PeerAddresses()) == 1 })
	}
}
