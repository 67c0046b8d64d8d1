package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/settings"
)

const outstanding = 4096

// BenchmarkEntries keeps a fixed number of single-row entries outstanding and reports
// entries per second and entries per commit.
func BenchmarkEntries(b *testing.B) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			table := memtable.New()
			table.Set(func(f *memtable.Faults) { f.Delay = delay })
			j := New(Config{Table: table, Incarnation: "i", Settings: settings.Default().Batch})
			ctx, stop := context.WithCancel(context.Background())
			var running, entries sync.WaitGroup
			running.Go(func() { j.Run(ctx) })
			slots := make(chan struct{}, outstanding)
			begin := time.Now()
			for i := range b.N {
				slots <- struct{}{}
				entries.Add(1)
				j.Append(Entry{
					Conditions: []infra.Condition{{Key: "shard/s"}},
					Writes:     []infra.Write{{Key: fmt.Sprint("job/", i), Value: make([]byte, 200)}},
					Done: func(r infra.CommitResult) {
						if r.Status != infra.CommitApplied {
							b.Error(r)
						}
						<-slots
						entries.Done()
					},
				})
			}
			entries.Wait()
			took := time.Since(begin).Seconds()
			stop()
			running.Wait()
			b.ReportMetric(float64(b.N)/took, "entries/s")
			b.ReportMetric(float64(b.N)/float64(table.Stats().Commits), "entries/commit")
		})
	}
}
