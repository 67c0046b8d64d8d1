package mechanism_test

import (
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/mechanism"
)

// TestParse checks that every name, a list and the empty list are read, and
// that an unknown name is rejected.
func TestParse(t *testing.T) {
	all := mechanism.Names()
	seen := map[mechanism.Set]string{}
	for _, name := range all {
		s, err := mechanism.Parse(name)
		if err != nil || s == 0 {
			t.Errorf("%s: set %b, error %v", name, s, err)
		}
		if other, duplicate := seen[s]; duplicate {
			t.Errorf("%s and %s parse to the same set", name, other)
		}
		seen[s] = name
	}
	s, err := mechanism.Parse("pacing,moving")
	if err != nil || s != mechanism.Of(mechanism.CPULimits, mechanism.Moving) || s.Has(mechanism.Timeliness) {
		t.Errorf("pacing,moving: set %b, error %v", s, err)
	}
	if s, err := mechanism.Parse(""); s != 0 || err != nil {
		t.Errorf("empty list: set %b, error %v", s, err)
	}
	if _, err := mechanism.Parse("pacing,nonsense"); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("error %v, want one that contains the unknown name", err)
	}
}
