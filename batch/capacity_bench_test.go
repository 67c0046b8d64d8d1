package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	stdnet "net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin/httpclient"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// fleetTasks is the number of tasks on fleetWorkers workers.
	fleetTasks   = 40000
	fleetWorkers = 4300
	// fleetSample is the number of exchanges per usage sample: the default lag
	// divided by the default exchange interval.
	fleetSample = 5
	fleetWindow = 10 * time.Second
)

// fleetWorker is a worker whose runs never end and change their usage with each
// sample.
type fleetWorker struct {
	mu        sync.Mutex
	seq       uint64
	exchanges int
	runs      []infra.RunReport
	// started receives a value for each start order, if it has space.
	started chan struct{}
}

func (w *fleetWorker) exchange(x infra.Exchange) infra.ExchangeReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exchanges++
	w.startOrdered(x.Orders)
	reply := infra.ExchangeReply{FullList: x.Since == 0}
	sample := w.exchanges%fleetSample == 0
	if sample && len(w.runs) > 0 {
		w.seq++
		reply.LatencyMS = map[string]float64{"dispatch": 41.25, "route-sales": 38.5}
	}
	if w.seq == 0 {
		w.seq = 1
	}
	reply.Seq = w.seq
	for i := range w.runs {
		if sample {
			w.runs[i].Usage.MilliCPU = 2500 + int64(w.seq%100)
			w.runs[i].DoneMS += 5000
		}
		if sample || reply.FullList {
			reply.Runs = append(reply.Runs, w.runs[i])
		}
	}
	return reply
}

// startOrdered starts the ordered runs.
func (w *fleetWorker) startOrdered(orders []infra.Order) {
	for _, o := range orders {
		if o.Kind != infra.OrderStart {
			continue
		}
		w.runs = append(w.runs, infra.RunReport{Run: o.Run, State: infra.RunRunning, Resources: o.Resources, Class: o.Class})
		select {
		case w.started <- struct{}{}:
		default:
		}
	}
}

// fleet consists of the workers and the table of one owner.
type fleet struct {
	workers map[string]*fleetWorker
	members []infra.Member
	table   *memtable.Table
	count   atomic.Int64
	started chan struct{}
}

// newFleet distributes running tasks evenly over workers and stores their
// records.
func newFleet(workers, tasks int) *fleet {
	f := &fleet{workers: map[string]*fleetWorker{}, table: memtable.New()}
	f.started = make(chan struct{}, 1)
	for i := range workers {
		name := fmt.Sprintf("worker-%04d", i)
		f.workers[name] = &fleetWorker{started: f.started}
		f.members = append(f.members, infra.Member{
			Kind: infra.Worker, Name: name, Address: name, Region: "bergamo", Zone: "z", Rack: fmt.Sprint("rack-", i/8),
			State: infra.Live, Capacity: infra.Resources{MilliCPU: 64000, MemoryMB: 250000},
		})
	}
	for i := range tasks {
		name := f.members[i%workers].Name
		r := task.New(spec(fmt.Sprintf("0192f0c1-7a5e-7cc3-98c4-%012d", i), time.Hour))
		r.State, r.Epoch, r.Worker = task.Running, 1, name
		f.table.Put(jobKey("wk/z/0", r.Spec.ID), encode(r))
		f.workers[name].runs = append(f.workers[name].runs, infra.RunReport{
			Run: r.RunID(), State: infra.RunRunning, Resources: r.Spec.Resources, Class: r.Spec.Class,
			Usage: infra.Resources{MilliCPU: 2500, MemoryMB: 3900},
		})
	}
	return f
}

// Exchange implements infra.Workers without a network.
func (f *fleet) Exchange(_ context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	f.count.Add(1)
	return f.workers[address].exchange(x), nil
}

// owner starts the manager that owns the fleet, and returns a function that
// stops it.
func (f *fleet) owner(w infra.Workers) (*Manager, func()) {
	ctx, stop := context.WithCancel(context.Background())
	n := peernet.New()
	version := f.table.Put(shardKey("wk/z/0"), nil)
	b := settings.Default().Batch
	j := journal.New(journal.Config{Table: f.table, Incarnation: "h", Settings: b})
	m := New(Config{
		Host: "h", Table: f.table, Journal: j, Workers: w, Transport: n.Port("h"), Mux: n.Port("h"),
		NewPlanner: func(string) placement.Planner {
			return placement.New(placement.Options{Seed: 1, Headroom: b.Headroom, Colocation: settings.Default().Colocation})
		},
		Settings: b, TaskLease: settings.Default().Lease.TaskLease.D(), ClockRate: 0.01, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	m.SetWorkers(map[string][]infra.Member{"wk/z/0": f.members})
	m.SetOwnership(&ownership.Snapshot{Owners: map[string]string{"wk/z/0": "h"}, Grants: map[string]ownership.Grant{"wk/z/0": {
		Shard: "wk/z/0", Epoch: 1, Version: version, Share: ownership.Full, Until: time.Now().Add(time.Hour),
	}}})
	var done sync.WaitGroup
	done.Go(func() { j.Run(ctx) })
	done.Go(func() { m.Run(ctx) })
	return m, func() { stop(); done.Wait() }
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// BenchmarkFleet measures the memory and CPU usage of one owner by number of
// workers, idle and with running tasks, without a network.
func BenchmarkFleet(b *testing.B) {
	for _, workers := range []int{65, 650, fleetWorkers} {
		for _, tasks := range []int{0, fleetTasks * workers / fleetWorkers} {
			b.Run(fmt.Sprintf("%dworkers-%dtasks", workers, tasks), func(b *testing.B) {
				for range b.N {
					fleetCost(b, workers, tasks)
				}
			})
		}
	}
}

func fleetCost(b *testing.B, workers, tasks int) {
	f := newFleet(workers, tasks)
	before := heapBytes()
	began := time.Now()
	m, stop := f.owner(f)
	defer stop()
	for m.Counts().Ready == 0 || m.Counts().Running < tasks {
		<-time.After(10 * time.Millisecond)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s-to-ready")
	<-time.After(3 * time.Second)
	b.ReportMetric((heapBytes()-before)/float64(workers), "B/worker")
	cpu, exchanges, at := processorTime(b), f.count.Load(), time.Now()
	<-time.After(fleetWindow)
	spent := (processorTime(b) - cpu).Seconds()
	n := float64(f.count.Load() - exchanges)
	b.ReportMetric(n/time.Since(at).Seconds(), "exchanges/s")
	b.ReportMetric(spent/time.Since(at).Seconds()*100, "%core")
	b.ReportMetric(spent/n*1e6, "µs/exchange")
}

// BenchmarkTakeover measures the time from a new owner's grant for a shard of
// running tasks until an urgent job starts on a worker, with a table latency of
// 50 ms.
func BenchmarkTakeover(b *testing.B) {
	for _, workers := range []int{108, 1075, fleetWorkers} {
		tasks := fleetTasks * workers / fleetWorkers
		b.Run(fmt.Sprintf("%dworkers-%dtasks", workers, tasks), func(b *testing.B) {
			for range b.N {
				f := newFleet(workers, tasks)
				f.table.Set(func(t *memtable.Faults) { t.Delay = 50 * time.Millisecond })
				before := f.table.Stats()
				began := time.Now()
				m, stop := f.owner(f)
				ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
				s := spec("urgent", time.Hour)
				s.Urgent = true
				for m.Counts().Ready == 0 {
					<-time.After(time.Millisecond)
				}
				b.ReportMetric(time.Since(began).Seconds(), "s-to-replayed")
				if _, kind, reason := m.Submit(ctx, s); kind != outcome.Answered {
					b.Errorf("%v %s", kind, reason)
				}
				<-f.started
				b.ReportMetric(time.Since(began).Seconds(), "s-to-start")
				b.ReportMetric(float64(f.table.Stats().Reads-before.Reads), "reads")
				b.ReportMetric(float64(f.table.Stats().Commits-before.Commits), "commits")
				cancel()
				stop()
			}
		})
	}
}

// BenchmarkRecord measures the encoding of a record and reports the sizes of a
// job's rows.
func BenchmarkRecord(b *testing.B) {
	s := spec("0192f0c1-7a5e-7cc3-98c4-000000000001", time.Hour)
	r := task.New(s)
	r.State, r.Epoch, r.Worker = task.Running, 1, "worker-0001"
	for b.Loop() {
		encode(r)
	}
	b.ReportMetric(float64(len(encode(r))+len(jobKey("wk/zone-3/07", s.ID))), "B/record")
	b.ReportMetric(float64(len(refKey(s.ID))+len("wk/zone-3/07")), "B/ref")
	b.ReportMetric(float64(len(encode(idempotencyRow{ID: s.ID, Hash: 1 << 60}))+len(idempotencyKey(s.Team, s.Key))), "B/key")
}

// countingListener counts accepted connections and the bytes read and written.
type countingListener struct {
	stdnet.Listener
	in, out, accepted *atomic.Int64
}

func (w countingListener) Accept() (stdnet.Conn, error) {
	c, err := w.Listener.Accept()
	w.accepted.Add(1)
	return countingConn{c, w}, err
}

type countingConn struct {
	stdnet.Conn
	listener countingListener
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// BenchmarkFleetHTTP measures exchanges over HTTP on loopback: bytes per
// exchange, connections per second, and CPU time including the workers' part.
func BenchmarkFleetHTTP(b *testing.B) {
	for _, workers := range []int{65, 250, 478} {
		for _, tasksPerWorker := range []int{0, 9} {
			for _, idle := range []int{64, 0} {
				b.Run(fmt.Sprintf("%dworkers-%dtasks-%didle", workers, workers*tasksPerWorker, idle), func(b *testing.B) {
					for range b.N {
						fleetHTTP(b, workers, workers*tasksPerWorker, idle)
					}
				})
			}
		}
	}
}

func fleetHTTP(b *testing.B, workers, tasks, idle int) {
	f := newFleet(workers, tasks)
	var in, out, accepted atomic.Int64
	var serving sync.WaitGroup
	defer serving.Wait()
	for i := range f.members {
		w := f.workers[f.members[i].Name]
		l, err := stdnet.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		f.members[i].Address = l.Addr().String()
		s := &http.Server{Handler: f.handler(w)}
		serving.Go(func() { _ = s.Serve(countingListener{l, &in, &out, &accepted}) })
		defer s.Close()
	}
	transport := &http.Transport{MaxIdleConns: idle, MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	m, stop := f.owner(httpclient.NewWorkers(&http.Client{Transport: transport, Timeout: 2 * time.Second}))
	defer stop()
	for m.Counts().Ready == 0 || m.Counts().Running < tasks {
		<-time.After(10 * time.Millisecond)
	}
	<-time.After(3 * time.Second)
	cpu, exchanges, at := processorTime(b), f.count.Load(), time.Now()
	i, o, a := in.Load(), out.Load(), accepted.Load()
	<-time.After(fleetWindow)
	n := float64(f.count.Load() - exchanges)
	seconds := time.Since(at).Seconds()
	b.ReportMetric((processorTime(b)-cpu).Seconds()/n*1e6, "µs/exchange")
	b.ReportMetric(n/seconds, "exchanges/s")
	b.ReportMetric(float64(in.Load()-i)/n, "B-to-worker")
	b.ReportMetric(float64(out.Load()-o)/n, "B-from-worker")
	b.ReportMetric(float64(accepted.Load()-a)/seconds, "conns/s")
}

func (f *fleet) handler(w *fleetWorker) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var x infra.Exchange
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		f.count.Add(1)
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(w.exchange(x))
	}
}
