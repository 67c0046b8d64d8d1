package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin"
)

// BenchmarkWorker measures the processing of one exchange by a stand-in worker,
// JSON included. Its runs are sampled every five exchanges.
func BenchmarkWorker(b *testing.B) {
	for _, runs := range []int{0, 10, 40} {
		b.Run(fmt.Sprint(runs, "runs"), func(b *testing.B) {
			now := time.Unix(1764700000, 0)
			config := standin.WorkerConfig{
				Name: "worker", Zone: "z", Rack: "r", Lag: 5 * time.Second,
				Capacity: infra.Resources{MilliCPU: 64000, MemoryMB: 250000},
			}
			w := standin.NewWorker(config, now)
			x := infra.Exchange{OwnerEpoch: 1, LeaseMS: 30000}
			for i := range runs {
				x.Orders = append(x.Orders, infra.Order{
					Kind: infra.OrderStart, Run: infra.RunID{Job: fmt.Sprintf("0192f0c1-7a5e-7cc3-98c4-%012d", i), Epoch: 1},
					Resources: infra.Resources{MilliCPU: 1000, MemoryMB: 4000}, Class: "route-plan", WorkMS: 1 << 40,
				})
			}
			bytes := 0
			for b.Loop() {
				now = now.Add(time.Second)
				request, err := json.Marshal(x)
				if err != nil {
					b.Fatal(err)
				}
				var in infra.Exchange
				if err := json.Unmarshal(request, &in); err != nil {
					b.Fatal(err)
				}
				reply, err := w.ExchangeAt(now, in)
				if err != nil {
					b.Fatal(err)
				}
				answer, err := json.Marshal(reply)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(request) + len(answer)
				x.Since, x.Orders = reply.Seq, nil
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "body-B/exchange")
		})
	}
}
