package interference_test

import (
	"math"
	"testing"

	"github.com/fireflygate/fireflygate/interference"
)

// TestRecall has a model that recalls another's lessons blame the same pairs.
func TestRecall(t *testing.T) {
	objectives := map[string]float64{"web": 50}
	m := interference.NewModel(objectives, 0)
	for i := range 300 {
		latency, other := 20.0, "quiet"
		if i%2 == 0 {
			latency, other = 60, "loud"
		}
		m.Learn("web", interference.Load{Batch: []interference.Share{{Class: other, CPUShare: 0.2}}}, latency)
	}
	next := interference.NewModel(map[string]float64{}, 0)
	next.Import(m.Export())
	for _, other := range []string{"loud", "quiet"} {
		want, _ := m.Effect("web", other, 0.2)
		got, deviation := next.Effect("web", other, 0.2)
		if math.Abs(got-want) > 0.01 || deviation > 0.5 {
			t.Errorf("%s: blame %.3f, deviation %.3f; want %.3f", other, got, deviation, want)
		}
	}
	next.Import([]interference.ClassEstimate{{Class: "bad"}, {Class: "short", ObjectiveMS: 5, Common: make([]interference.Weight, 1)}})
	if next.Uncertain("bad", "loud") {
		t.Error("a lesson without an objective was taken in")
	}
}
