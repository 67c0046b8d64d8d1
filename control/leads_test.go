package control_test

import "testing"

// TestLeads tells a host when it begins to own the domain, and when that is
// over.
func TestLeads(t *testing.T) {
	c := newCluster(t, 0, 1)
	told := make(chan bool, 2)
	c.leads = func(owner bool) { told <- owner }
	h := c.start("h0", c.table)
	if owner := <-told; !owner {
		t.Fatal("told that it doesn't own the domain, want that it does")
	}
	h.kill()
	if owner := <-told; owner {
		t.Error("told that it owns the domain after it was killed")
	}
}
