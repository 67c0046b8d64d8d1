package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// world drives some machines over one table, in its own time, from one seed.
type world struct {
	rand   *rand.Rand
	lease  settings.Lease
	maxRun time.Duration
	now    time.Time
	seq    int
	queue  eventQueue

	table     simTable
	storeDown bool
	// readsDown fails reads while writes work.
	readsDown bool
	// bursts makes every request as long as it may be, so that slots free up
	// together.
	bursts bool
	// idle leaves the traffic out.
	idle  bool
	hosts []*simHost
	list  infra.MemberList
	// cut holds the pairs of hosts that cannot talk.
	cut map[[2]string]bool
	// lossy is the chance in percent that an answer is lost.
	lossy int

	flaws     flaws
	unfenced  bool
	endpoints map[string]*simShard
	// wrong is the first bound broken; stuck is a shard left without an owner.
	wrong, stuck string
	reads        int
	writes       int
	// readBytes is the size of the rows read, and told about that of what
	// hosts tell each other.
	readBytes, told int
	// dispatches counts requests written to endpoints; commits those of
	// worker shards that took effect.
	dispatches, commits int
	seizures            int
	// renewals counts renewals of task leases sent; lateRenewals those under
	// an owner that another has succeeded.
	renewals, lateRenewals int
}

// The capacity of each endpoint shard, in slots.
const simSlots = 8

// newWorld returns a world of n hosts in three zones, not yet started.
func newWorld(seed uint64, n, shards int, f flaws) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), cut: map[[2]string]bool{},
		lease: settings.Default().Lease, maxRun: settings.Default().Lease.MaxRun.D(),
		flaws: f, endpoints: map[string]*simShard{},
	}
	w.lease.EndpointShards, w.lease.WorkerShardsPerZone = 1, 1
	w.table.rows = map[string]infra.Row{}
	for i := range shards {
		w.list.Members = append(w.list.Members,
			infra.Member{Kind: infra.Endpoint, Name: fmt.Sprint("e", i), Service: fmt.Sprint("s", i), State: infra.Live},
			infra.Member{Kind: infra.Worker, Name: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i), State: infra.Live})
	}
	for i := range n {
		h := &simHost{w: w, name: fmt.Sprint("h", i), zone: fmt.Sprint(i % 3), lease: w.lease, maxRun: w.maxRun}
		// Two clocks differ by at most the rate that is allowed.
		h.rate = 1 + w.lease.ClockRate*(w.rand.Float64()-0.5)
		w.hosts = append(w.hosts, h)
		w.enlist(h, true)
		h.start()
	}
	return w
}

// enlist puts a host on the list or drops it, and tells everyone with a lag.
func (w *world) enlist(h *simHost, on bool) {
	w.list.Revision++
	w.list.Members = slices.DeleteFunc(slices.Clone(w.list.Members), func(m infra.Member) bool { return m.Name == h.name })
	if on {
		w.list.Members = append(w.list.Members, infra.Member{
			Kind: infra.EntryHost, Name: h.name, Zone: h.zone, State: infra.Live,
		})
	}
	list := w.list
	for _, o := range w.hosts {
		o.readList(w.between(50, 3000), list)
	}
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue orders events by time, then by when they were added.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after has something happen later.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

// run lets time pass until it is over or a bound is broken.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.wrong == "" && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// between returns a random time between two numbers of milliseconds.
func (w *world) between(low, high int) time.Duration {
	return time.Duration(low+w.rand.IntN(high-low+1)) * time.Millisecond
}

// chance is true in so many of a hundred cases.
func (w *world) chance(percent int) bool { return w.rand.IntN(100) < percent }

// fail notes the first broken bound.
func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = w.now.Format("05.000 ") + fmt.Sprintf(format, args...)
	}
}

// simTable is the table service.
type simTable struct {
	rows    map[string]infra.Row
	version uint64
}

// commit applies a transaction.
func (t *simTable) commit(tx infra.Transaction) infra.CommitResult {
	var conflicts []infra.Row
	for _, c := range tx.Conditions {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return infra.CommitResult{Status: infra.CommitConflict, Conflicts: conflicts}
	}
	t.version++
	for _, wr := range tx.Writes {
		t.rows[wr.Key] = infra.Row{Key: wr.Key, Value: wr.Value, Version: t.version}
	}
	return infra.CommitResult{Status: infra.CommitApplied, Version: t.version}
}

// get returns rows by key, version 0 for absent ones.
func (t *simTable) get(keys []string) []infra.Row {
	rows := make([]infra.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows
}

// scan returns the rows under a prefix.
func (t *simTable) scan(prefix string) []infra.Row {
	var rows []infra.Row
	for key, row := range t.rows {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b infra.Row) int { return cmpString(a.Key, b.Key) })
	return rows
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// simShard is the truth about an endpoint shard or a worker shard.
type simShard struct {
	// running counts requests at the endpoints, from whomever.
	running int
	// epoch is that of the newest commit to a worker shard.
	epoch uint64
	// owned is the epoch of the shard's row, and ownedAt since when.
	owned   uint64
	ownedAt time.Time
	// renewedAt is when the newest renewal of task leases was sent, and gap
	// the longest time between two.
	renewedAt time.Time
	gap       time.Duration
}

// truth returns the truth about a shard.
func (w *world) truth(shard string) *simShard {
	if w.endpoints[shard] == nil {
		w.endpoints[shard] = &simShard{renewedAt: w.now}
	}
	return w.endpoints[shard]
}

// fullOwners counts the hosts that may use all of a shard now.
func (w *world) fullOwners(shard string) int {
	n := 0
	for _, h := range w.hosts {
		if h.alive {
			if g, ok := h.machine.Snapshot().Grants[shard]; ok && g.At(h.clock()) == Full {
				n++
			}
		}
	}
	return n
}

// shards returns the names of all shards.
func (w *world) shards() []string {
	return roster.Build(roster.Roster{}, w.list, w.lease).Shards()
}
