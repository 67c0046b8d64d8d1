package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

const (
	benchHosts         = 9
	benchWorkers       = 30 // per host
	benchRate          = 320
	benchSeconds       = 10
	benchUrgentEvery   = 10
	benchReplayRecords = 40000
)

// BenchmarkStarts submits benchRate jobs per second to benchHosts hosts, a tenth
// of them urgent, and reports commits per start and start latency.
func BenchmarkStarts(b *testing.B) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			for range b.N {
				benchStarts(b, delay, benchHosts, benchRate)
			}
		})
	}
}

// BenchmarkStartsBySize reports commits and rows per start for several rates and
// numbers of hosts, with a table latency of 50 ms.
func BenchmarkStartsBySize(b *testing.B) {
	for _, size := range []struct{ hosts, rate int }{{9, 80}, {9, 160}, {9, 320}, {18, 320}, {40, 320}} {
		b.Run(fmt.Sprintf("%dhosts-%dstarts", size.hosts, size.rate), func(b *testing.B) {
			for range b.N {
				benchStarts(b, 50*time.Millisecond, size.hosts, size.rate)
			}
		})
	}
}

// bench is a set of hosts, each of which owns one shard.
type bench struct {
	table   *memtable.Table
	workers *fakeWorkers
	nodes   []*Manager
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func newBench(hosts, workers, records int) *bench {
	ctx, stop := context.WithCancel(context.Background())
	x := &bench{table: memtable.New(), workers: newFakeWorkers(), stop: stop}
	n := peernet.New()
	members := map[string][]infra.Member{}
	owners := map[string]string{}
	for h := range hosts {
		name := fmt.Sprint("wk/z/", h)
		owners[name] = fmt.Sprint("h", h)
		for i := range workers {
			w := fmt.Sprintf("w%d-%d", h, i)
			x.workers.hosts[w] = newFakeWorkers(w).hosts[w]
			members[name] = append(members[name], infra.Member{
				Name: w, Address: w, Zone: "z", State: infra.Live,
				Capacity: infra.Resources{MilliCPU: 64000, MemoryMB: 250000},
			})
		}
	}
	for i := range records {
		id := fmt.Sprint("old", i)
		x.table.Put(jobKey("wk/z/0", id), encode(task.New(spec(id, time.Hour))))
	}
	for h := range hosts {
		shard := fmt.Sprint("wk/z/", h)
		version := x.table.Put(shardKey(shard), nil)
		b := settings.Default().Batch
		host := owners[shard]
		j := journal.New(journal.Config{Table: x.table, Incarnation: host, Settings: b})
		m := New(Config{
			Host: host, Table: x.table, Journal: j, Workers: x.workers, Transport: n.Port(host), Mux: n.Port(host),
			NewPlanner: func(string) placement.Planner { return newFirstFit() },
			Settings:   b, TaskLease: settings.Default().Lease.TaskLease.D(), ClockRate: 0.01, Rand: rand.New(rand.NewPCG(uint64(h), 1)),
		})
		m.SetWorkers(members)
		m.SetOwnership(&ownership.Snapshot{Owners: owners, Grants: map[string]ownership.Grant{shard: {
			Shard: shard, Epoch: 1, Version: version, Share: ownership.Full, Until: time.Now().Add(time.Hour),
		}}})
		x.done.Go(func() { j.Run(ctx) })
		x.done.Go(func() { m.Run(ctx) })
		x.nodes = append(x.nodes, m)
	}
	return x
}

func (x *bench) close() {
	x.stop()
	x.done.Wait()
}

// submitAll submits rate jobs per second for benchSeconds and returns the
// submission time of each job.
func (x *bench) submitAll(b *testing.B, rate int) map[string]time.Time {
	at := map[string]time.Time{}
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range rate * benchSeconds {
		<-ticker.C
		s := spec(fmt.Sprint("j", i), 2*time.Second)
		s.Urgent = i%benchUrgentEvery == 0
		at[s.ID] = time.Now()
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if _, kind, reason := x.nodes[i%len(x.nodes)].Submit(ctx, s); kind != outcome.Answered {
				b.Errorf("%s: %v %s", s.ID, kind, reason)
			}
		})
	}
	calls.Wait()
	return at
}

func benchStarts(b *testing.B, delay time.Duration, hosts, rate int) {
	x := newBench(hosts, benchHosts*benchWorkers/hosts, 0)
	defer x.close()
	<-time.After(3 * time.Second) // until all workers are reconciled
	x.table.Set(func(f *memtable.Faults) { f.Delay = delay })
	before, cpu := x.table.Stats(), processorTime(b)
	at := x.submitAll(b, rate)
	<-time.After(5 * time.Second)
	after := x.table.Stats()
	b.ReportMetric((processorTime(b)-cpu).Seconds()*1e6/float64(len(at)), "µs/start")
	var urgent, normal []float64
	for _, run := range x.workers.history {
		ms := run.from.Sub(at[run.run.Job]).Seconds() * 1000
		n, err := strconv.Atoi(strings.TrimPrefix(run.run.Job, "j"))
		if err != nil {
			b.Fatal(err)
		}
		if n%benchUrgentEvery == 0 {
			urgent = append(urgent, ms)
		} else {
			normal = append(normal, ms)
		}
	}
	count := float64(len(urgent) + len(normal))
	b.ReportMetric(count, "starts")
	b.ReportMetric(float64(after.Commits-before.Commits)/count, "commits/start")
	b.ReportMetric(float64(after.Rows-before.Rows)/count, "rows/start")
	b.ReportMetric(percentile(urgent, 0.99), "urgent-p99-ms")
	b.ReportMetric(percentile(normal, 0.99), "normal-p99-ms")
}

// percentile sorts v and returns its quantile q.
func percentile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[int(float64(len(v)-1)*q)]
}

// BenchmarkReplay measures the replay of a shard with benchReplayRecords records.
func BenchmarkReplay(b *testing.B) {
	x := newBench(0, 0, benchReplayRecords)
	defer x.close()
	before := x.table.Stats()
	for range b.N {
		m := &Manager{config: withDefaults(Config{Table: x.table})}
		records, err := m.readRecords(context.Background(), "wk/z/0")
		if err != nil || len(records) != benchReplayRecords {
			b.Fatal(len(records), err)
		}
		s := newShard("wk/z/0", 1, 1, limits{Batch: settings.Default().Batch, taskLease: settings.Default().Lease.TaskLease.D()}, &discard{firstFit: newFirstFit()}, m.config.Log, newMetrics(nil))
		s.load(time.Now(), records)
	}
	b.ReportMetric(float64(x.table.Stats().Reads-before.Reads)/float64(b.N), "reads/op")
}

// discard is a planner that drops enqueued jobs.
type discard struct{ *firstFit }

func (*discard) Enqueue(time.Time, task.Spec) {}

// BenchmarkSteady measures the CPU time that one owner spends on exchanges in
// steady state, including the time of the fake workers.
func BenchmarkSteady(b *testing.B) {
	const workers, jobs, seconds = 478, 2400, 10
	x := newBench(1, workers, 0)
	defer x.close()
	<-time.After(3 * time.Second)
	var calls sync.WaitGroup
	for i := range jobs {
		calls.Go(func() { x.nodes[0].Submit(context.Background(), spec(fmt.Sprint("j", i), time.Hour)) })
	}
	calls.Wait()
	<-time.After(5 * time.Second)
	for range b.N {
		before := processorTime(b)
		<-time.After(seconds * time.Second)
		b.ReportMetric((processorTime(b)-before).Seconds()/seconds*100, "%core")
		b.ReportMetric(float64(x.nodes[0].Counts().Running), "running")
	}
}

// processorTime returns the CPU time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
