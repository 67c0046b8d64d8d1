package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/burn"
)

// BenchmarkSheets reports the bytes of burn counts that one host writes in each
// flush, by the number of objectives, after half an hour of traffic.
func BenchmarkSheets(b *testing.B) {
	for _, objectives := range []int{1, 10, 46} {
		b.Run(fmt.Sprint(objectives, "objectives"), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				r := burn.NewRecorder("gate-00#0192f0c1-7a5e-7cc3-98c4-dc0c0c07398f")
				now := time.Unix(1764698400, 0)
				for range 30 {
					now = now.Add(time.Minute)
					for o := range objectives {
						r.Add(now, fmt.Sprint("gate-", o), 59_000, 60_000)
					}
				}
				bytes = 0
				for _, s := range r.Flush(now, false) {
					value, err := msgpack.Marshal(s)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(value)
				}
			}
			b.ReportMetric(float64(bytes), "B/flush")
		})
	}
}
