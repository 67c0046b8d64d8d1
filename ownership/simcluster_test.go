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

// simCluster runs several simulated hosts that share a table, in simulated
// time, from a random seed.
type simCluster struct {
	rand   *rand.Rand
	lease  settings.Lease
	maxRun time.Duration
	now    time.Time
	seq    int
	queue  eventQueue

	table     simTable
	tableDown bool
	// readsDown makes reads fail while writes succeed.
	readsDown bool
	// maxLengthRequests makes every request run for the maximum time, so that
	// slots become free in bursts.
	maxLengthRequests bool
	// noTraffic disables the traffic.
	noTraffic bool
	hosts     []*simHost
	list      infra.MemberList
	// partitions holds the pairs of hosts that cannot communicate.
	partitions map[[2]string]bool
	// lossPercent is the probability that an answer is lost.
	lossPercent int

	flaws        flaws
	unfenced     bool
	actualShards map[string]*simShard
	// violation describes the first violated bound; stuck describes a shard
	// left without an owner.
	violation, stuck string
	reads            int
	writes           int
	// readBytes is the size of the rows read; notifyBytes estimates the size of
	// the owner updates sent.
	readBytes, notifyBytes int
	// dispatches counts requests sent to endpoints; commits counts commits of
	// worker shards that took effect.
	dispatches, commits int
	seizures            int
	// renewals counts renewals of task leases sent; lateRenewals counts those
	// sent under an owner that had been succeeded.
	renewals, lateRenewals int
}

// simSlots is the capacity of each endpoint shard, in slots.
const simSlots = 8

// newSimCluster returns a cluster of n started hosts in three zones, with as
// many endpoint and worker shards as given.
func newSimCluster(seed uint64, n, shards int, f flaws) *simCluster {
	c := &simCluster{
		rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), partitions: map[[2]string]bool{},
		lease: settings.Default().Lease, maxRun: settings.Default().Lease.MaxRun.D(),
		flaws: f, actualShards: map[string]*simShard{},
	}
	c.lease.EndpointShards, c.lease.WorkerShardsPerZone = 1, 1
	c.table.rows = map[string]infra.Row{}
	for i := range shards {
		c.list.Members = append(c.list.Members,
			infra.Member{Kind: infra.Endpoint, Name: fmt.Sprint("e", i), Service: fmt.Sprint("s", i), State: infra.Live},
			infra.Member{Kind: infra.Worker, Name: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i), State: infra.Live})
	}
	for i := range n {
		h := &simHost{c: c, name: fmt.Sprint("h", i), zone: fmt.Sprint(i % 3), lease: c.lease, maxRun: c.maxRun}
		// Two clocks differ by at most the permitted rate.
		h.clockRate = 1 + c.lease.ClockRate*(c.rand.Float64()-0.5)
		c.hosts = append(c.hosts, h)
		c.setListed(h, true)
		h.start()
	}
	return c
}

// setListed adds a host to the membership list or drops it, and delivers the
// list to all hosts with a lag.
func (c *simCluster) setListed(h *simHost, listed bool) {
	c.list.Revision++
	c.list.Members = slices.DeleteFunc(slices.Clone(c.list.Members), func(m infra.Member) bool { return m.Name == h.name })
	if listed {
		c.list.Members = append(c.list.Members, infra.Member{
			Kind: infra.EntryHost, Name: h.name, Zone: h.zone, State: infra.Live,
		})
	}
	list := c.list
	for _, o := range c.hosts {
		o.readList(c.between(50, 3000), list)
	}
}

// event is a function to be called at a given time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue orders events by time, then by the order in which they were added.
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

// after schedules a function.
func (c *simCluster) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now.Add(d), c.seq, do})
}

// run advances the simulated time until the duration has passed or a bound is
// violated.
func (c *simCluster) run(d time.Duration) {
	end := c.now.Add(d)
	for c.violation == "" && len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// between returns a random duration between two numbers of milliseconds.
func (c *simCluster) between(low, high int) time.Duration {
	return time.Duration(low+c.rand.IntN(high-low+1)) * time.Millisecond
}

// chance returns true with the given probability in percent.
func (c *simCluster) chance(percent int) bool { return c.rand.IntN(100) < percent }

// fail records the first violation.
func (c *simCluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = c.now.Format("05.000 ") + fmt.Sprintf(format, args...)
	}
}

// simTable simulates the table service.
type simTable struct {
	rows    map[string]infra.Row
	version uint64
}

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

// get returns rows by key; absent rows have version 0.
func (t *simTable) get(keys []string) []infra.Row {
	rows := make([]infra.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows
}

// scan returns the rows whose keys have a prefix, in key order.
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

// simShard is the actual state of an endpoint or worker shard, across all
// hosts.
type simShard struct {
	// running counts the requests at the endpoints, from all hosts.
	running int
	// commitEpoch is the epoch of the newest commit to a worker shard.
	commitEpoch uint64
	// rowEpoch is the epoch of the shard's row, since rowEpochAt.
	rowEpoch   uint64
	rowEpochAt time.Time
	// renewedAt is when task leases were last renewed; maxGap is the longest
	// time between two renewals.
	renewedAt time.Time
	maxGap    time.Duration
}

// actual returns the actual state of a shard.
func (c *simCluster) actual(shard string) *simShard {
	if c.actualShards[shard] == nil {
		c.actualShards[shard] = &simShard{renewedAt: c.now}
	}
	return c.actualShards[shard]
}

// fullOwners counts the hosts that may currently use the full share of a shard.
func (c *simCluster) fullOwners(shard string) int {
	n := 0
	for _, h := range c.hosts {
		if h.alive {
			if g, ok := h.machine.Snapshot().Grants[shard]; ok && g.At(h.clock()) == Full {
				n++
			}
		}
	}
	return n
}

// shards returns the names of all shards.
func (c *simCluster) shards() []string {
	return roster.Build(roster.Roster{}, c.list, c.lease).Shards()
}

// ownerOf returns the host whose live process owns a shard by its own
// knowledge; nil if there is none.
func (c *simCluster) ownerOf(shard string) *simHost {
	for _, h := range c.hosts {
		if s := h.machine.shards[shard]; h.alive && s != nil && h.machine.owns(s) {
			return h
		}
	}
	return nil
}

// host returns the host with a name.
func (c *simCluster) host(name string) *simHost {
	return c.hosts[slices.IndexFunc(c.hosts, func(h *simHost) bool { return h.name == name })]
}
