package batch

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/fireflygate/fireflygate/infra"
)

// TestEndsHaveBoundedLabels lets a worker report states of its own making.
func TestEndsHaveBoundedLabels(t *testing.T) {
	m := newMetrics(nil)
	m.ended(infra.RunDone)
	for i := range 10 {
		m.ended(infra.RunState(fmt.Sprint("made-up-", i)))
	}
	if n := testutil.CollectAndCount(m.ends); n != 2 {
		t.Errorf("%d label values, want done and other", n)
	}
}
