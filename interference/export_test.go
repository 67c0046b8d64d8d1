package interference_test

import (
	"math"
	"testing"

	"github.com/fireflygate/fireflygate/interference"
)

// TestExportImport checks that a model with imported estimates predicts the
// same effects, and that malformed estimates are skipped.
func TestExportImport(t *testing.T) {
	objectives := map[string]float64{"web": 50}
	m := interference.NewModel(objectives, 0)
	for i := range 300 {
		latency, batchClass := 20.0, "low-impact"
		if i%2 == 0 {
			latency, batchClass = 60, "high-impact"
		}
		m.Learn("web", interference.Load{Batch: []interference.Share{{Class: batchClass, CPUShare: 0.2}}}, latency)
	}
	next := interference.NewModel(map[string]float64{}, 0)
	next.Import(m.Export())
	for _, batchClass := range []string{"high-impact", "low-impact"} {
		want, _ := m.Effect("web", batchClass, 0.2)
		got, deviation := next.Effect("web", batchClass, 0.2)
		if math.Abs(got-want) > 0.01 || deviation > 0.5 {
			t.Errorf("%s: effect %.3f, deviation %.3f; want %.3f", batchClass, got, deviation, want)
		}
	}
	next.Import([]interference.ClassEstimate{{Class: "bad"}, {Class: "short", ObjectiveMS: 5, Common: make([]interference.Weight, 1)}})
	if next.Uncertain("bad", "high-impact") {
		t.Error("an estimate without an objective was imported")
	}
}
