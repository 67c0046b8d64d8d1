package gate

import (
	"testing"

	"github.com/fireflygate/fireflygate/infra"
)

// TestAppliedMembershipMatches checks that every change of members or
// configuration is applied, also if the membership service restarts its
// revisions.
func TestAppliedMembershipMatches(t *testing.T) {
	list := func(revision uint64, name string) infra.MemberList {
		return infra.MemberList{Revision: revision, Members: []infra.Member{{Name: name}}}
	}
	applied := appliedMembership{list: list(3, "a"), config: 5}
	for name, c := range map[string]struct {
		list    infra.MemberList
		config  uint64
		matches bool
	}{
		"unchanged":         {list(3, "a"), 5, true},
		"revision":          {list(4, "a"), 5, false},
		"members alone":     {list(3, "b"), 5, false},
		"configuration":     {list(3, "a"), 6, false},
		"nothing is listed": {infra.MemberList{Revision: 3}, 5, false},
	} {
		if applied.matches(c.list, c.config) != c.matches {
			t.Errorf("%s: matches returns %v", name, !c.matches)
		}
	}
}
