package interference_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/interference"
)

// TestEncodedEstimatesAreBounded guards against a row of estimates that the store never takes:
// the largest model with the longest names is larger than a row. The pairs that were observed
// last are kept.
func TestEncodedEstimatesAreBounded(t *testing.T) {
	const most, classes, images = 65536, 64, 24
	for _, nameBytes := range []int{16, 46, 256} {
		name := func(kind string, i int) string {
			return fmt.Sprint(kind, i, strings.Repeat("n", nameBytes-len(kind)-2))
		}
		objectives := map[string]float64{}
		for i := range classes {
			objectives[name("class", i)] = 50
		}
		m := interference.NewModel(objectives, 0)
		for image := range images {
			for class := range classes {
				m.Learn(name("class", class), interference.Load{Batch: []interference.Share{{Class: name("image", image), CPUShare: 0.2}}}, 60)
			}
		}
		value, err := interference.Encode(m.Export(), most)
		if err != nil {
			t.Fatal(err)
		}
		var kept []interference.ClassEstimate
		if err := msgpack.Unmarshal(value, &kept); err != nil {
			t.Fatal(err)
		}
		pairs := 0
		for _, e := range kept {
			pairs += len(e.Pairs)
			for _, p := range e.Pairs {
				var image int
				_, _ = fmt.Sscanf(p.BatchClass, "image%d", &image)
				if image < images-len(e.Pairs) {
					t.Fatalf("%d byte names: image %d is kept with %d pairs of the class", nameBytes, image, len(e.Pairs))
				}
			}
		}
		if len(value) > most || len(kept) != classes || pairs == 0 {
			t.Errorf("%d byte names: %d bytes, %d classes, %d pairs", nameBytes, len(value), len(kept), pairs)
		}
		if nameBytes == 16 && pairs != classes*images {
			t.Errorf("%d pairs of short names are kept, want %d", pairs, classes*images)
		}
	}
}
