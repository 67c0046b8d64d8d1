package gate

import (
	"testing"

	"github.com/fireflygate/fireflygate/infra"
)

// TestTakenListSame checks that the parts are fed again with every change that
// reaches them, also when a service counts its revisions anew.
func TestTakenListSame(t *testing.T) {
	list := func(revision uint64, name string) infra.MemberList {
		return infra.MemberList{Revision: revision, Members: []infra.Member{{Name: name}}}
	}
	taken := takenList{list: list(3, "a"), config: 5}
	for name, c := range map[string]struct {
		list   infra.MemberList
		config uint64
		same   bool
	}{
		"unchanged":         {list(3, "a"), 5, true},
		"revision":          {list(4, "a"), 5, false},
		"members alone":     {list(3, "b"), 5, false},
		"configuration":     {list(3, "a"), 6, false},
		"nothing is listed": {infra.MemberList{Revision: 3}, 5, false},
	} {
		if taken.same(c.list, c.config) != c.same {
			t.Errorf("%s: same is %v", name, !c.same)
		}
	}
}
