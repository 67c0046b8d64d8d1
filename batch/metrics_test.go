package batch

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/fireflygate/fireflygate/infra"
)

// TestEndLabelsAreBounded checks that unknown run states share one label.
func TestEndLabelsAreBounded(t *testing.T) {
	m := newMetrics(nil)
	m.countEnd(infra.RunDone)
	for i := range 10 {
		m.countEnd(infra.RunState(fmt.Sprint("made-up-", i)))
	}
	if n := testutil.CollectAndCount(m.ends); n != 2 {
		t.Errorf("%d label values, want 2: done and other", n)
	}
}
