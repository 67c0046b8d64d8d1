package control_test

import "testing"

// TestOwnershipChanged checks that a host is notified when its ownership begins
// and when it ends.
func TestOwnershipChanged(t *testing.T) {
	c := newCluster(t, 0, 1)
	changes := make(chan bool, 2)
	c.ownershipChanged = func(owner bool) { changes <- owner }
	h := c.start("h0", c.table)
	if owner := <-changes; !owner {
		t.Fatal("first notification: not the owner, want owner")
	}
	h.kill()
	if owner := <-changes; owner {
		t.Error("notification after the host was killed: owner, want not the owner")
	}
}
