package integration

import (
	"fmt"
	"testing"
	"time"
)

// maxAttempts limits the runs of a scenario that a pause of the machine disturbs.
const maxAttempts = 3

// withoutMachinePause runs a scenario and the check that it returns. If a pause of
// the machine may have made sessions expire, the check would not show the effect of
// the scenario's fault, so the scenario is run again at a new site. The test fails
// if this happens maxAttempts times. scenarioPause is the time for which the
// scenario itself pauses processes.
func withoutMachinePause(t *testing.T, scenarioPause time.Duration, scenario func(t *testing.T, s *Site) (checkFault func())) {
	t.Helper()
	for n := 1; n <= maxAttempts; n++ {
		paused := false
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s, from := New(t, Options{}), time.Now()
			checkFault := scenario(t, s)
			if paused = s.SessionsMayHaveExpired(from, scenarioPause); paused {
				t.Log("the machine paused long enough for sessions to expire; the result of this attempt is not checked")
				return
			}
			checkFault()
		})
		if !paused || t.Failed() {
			return
		}
	}
	t.Errorf("the machine paused long enough for sessions to expire in each of %d attempts", maxAttempts)
}
