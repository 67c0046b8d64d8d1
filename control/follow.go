package control

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
)

// follow watches the owner until it fails, and then takes part in replacing
// it. It returns after each change.
func (n *Node) follow(ctx context.Context) {
	_, leader, _ := n.current()
	d := doubt{why: "no owner is known", gone: true}
	if leader.Host != "" && !leader.Resigned {
		d = n.watchLeader(ctx, leader)
	}
	if ctx.Err() != nil {
		return
	}
	event.OwnerSuspected.Log(n.opts.Log, slog.String("host", leader.Host), slog.Uint64("epoch", leader.Epoch),
		slog.String("why", d.why), slog.Uint64("version", d.version))
	n.replace(ctx, d)
}

// doubt is why a host takes part in replacing the owner.
type doubt struct {
	why string
	// gone is set if the owner's process seems to be gone.
	gone bool
	// version is that of the owner's row by the owner's last answer, and since
	// when it was so.
	version uint64
	since   time.Time
}

// watchLeader pings the owner until there is a reason to doubt it. It says
// why, and whether its process seems to be gone.
func (n *Node) watchLeader(ctx context.Context, leader election.Record) (d doubt) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		r, res := n.ping(ctx, leader)
		switch res {
		case outcome.NotRun:
			d.why, d.gone = "unreachable", true
			return d
		case outcome.Unknown:
			d.why = "no answer"
			return d
		}
		a := r.answer()
		d.why, d.gone = a.SuspectReason(&leader)
		if a.Owns(&leader) {
			d.version, d.since = r.Version, time.Now().Add(-a.CommitAge)
		}
		if d.why != "" {
			return d
		}
		n.seen()
		select {
		case <-t.C:
		case <-ctx.Done():
			return d
		}
	}
}

// ping asks the owner how it is.
func (n *Node) ping(ctx context.Context, leader election.Record) (pingReply, outcome.Kind) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var r pingReply
	q := pingRequest{Epoch: leader.Epoch, Address: n.opts.Address, Hosts: n.hostCount(), Cores: n.offer(), Zone: n.opts.Zone}
	res := n.client.Call(ctx, leader.Host, methodPing, q, &r)
	n.meet(r.Hosts)
	if r.Owner {
		n.relays.Store(int64(r.Relays))
	}
	return r, res.Kind
}

// hostCount returns how many hosts this one knows.
func (n *Node) hostCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.hosts)
}

// replace reads the owner's row until it names another owner, or is left
// unchanged for so long that this host takes it.
func (n *Node) replace(ctx context.Context, d doubt) {
	_, old, _ := n.current()
	t := time.NewTicker(rowPoll)
	defer t.Stop()
	for !n.contest(ctx, old, &d) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// contest makes one try to find the owner or to become it, and keeps in d since
// when the row is unchanged. It reports whether anything came of it.
func (n *Node) contest(ctx context.Context, old election.Record, d *doubt) bool {
	if hint, ok := n.hinted(old); ok {
		n.followOwner(hint)
		return true
	}
	begun := time.Now()
	record, version, err := n.readOwner(ctx)
	slowness := slowReads * time.Since(begun)
	switch {
	case err != nil:
		event.OwnerUnread.Log(n.opts.Log, slog.Any("err", err))
		d.since = time.Time{}
		n.askPeers(ctx)
		return false
	case record.Host != "" && !record.Resigned && !record.SameOwnership(&old):
		n.followOwner(record)
		return true
	case d.since.IsZero() || version != d.version:
		if !d.since.IsZero() && n.alive(ctx, record) {
			n.setLeader(record, nil)
			return true
		}
		d.version, d.since = version, time.Now()
		if record.Host == "" {
			d.since = d.since.Add(-unchangedFor) // nobody to wait for
		}
	}
	wait := election.AcquireWait(&record, n.opts.Cores, n.patience(d.gone)+slowness)
	return time.Since(d.since) >= wait && n.take(ctx, record, version)
}

// followOwner takes in another owner.
func (n *Node) followOwner(r election.Record) {
	n.setLeader(r, nil)
	event.OwnerFollowed.Log(n.opts.Log, slog.String("host", r.Host), slog.Uint64("epoch", r.Epoch))
}

// alive reports whether the owner answers and commits.
func (n *Node) alive(ctx context.Context, leader election.Record) bool {
	r, res := n.ping(ctx, leader)
	a := r.answer()
	why, _ := a.SuspectReason(&leader)
	return res == outcome.Answered && why == ""
}

// readOwner reads the owner's row.
func (n *Node) readOwner(ctx context.Context) (election.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	return election.Read(ctx, n.opts.Table)
}

// patience returns how long this host waits with the row unchanged; hosts
// differ, so that mostly one of them tries.
func (n *Node) patience(gone bool) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.opts.Host)) // never fails
	spread := time.Duration(h.Sum32()%spreadSteps) * spreadStep
	if gone {
		return unchangedRefused + spread
	}
	return unchangedFor + spread
}

// slowReads is how many times the duration of a read is added to a host's
// patience: where the table service is slow, the owner's commits are as well. A
// commit takes a little over two reads, and the next follows at once.
const slowReads = 3

// The spread of hosts' patience; a step is longer than a commit takes.
const (
	spreadSteps = 8
	spreadStep  = 25 * time.Millisecond
)

// take tries to become the owner, and leads until that is over. It reports
// whether anything changed.
func (n *Node) take(ctx context.Context, seen election.Record, version uint64) bool {
	if n.stopping() {
		return false
	}
	self := election.Record{Host: n.opts.Host, Address: n.opts.Address, Incarnation: n.opts.Incarnation, Cores: n.opts.Cores}
	try, cancel := context.WithTimeout(ctx, rowTimeout)
	c, err := election.Acquire(try, n.opts.Table, self, seen, version)
	cancel()
	if err != nil {
		event.OwnershipMissed.Log(n.opts.Log, slog.Any("epoch", seen.Epoch+1), slog.Any("err", err))
		return false
	}
	event.OwnershipTaken.Log(n.opts.Log, slog.Any("epoch", c.Record().Epoch), slog.Any("before", seen.Host),
		slog.Float64("cores", self.Cores), slog.Float64("best", seen.Cores))
	n.lead(ctx, c, seen)
	return true
}

// lead runs the owner until it is deposed or has resigned.
func (n *Node) lead(ctx context.Context, c *election.Committer, before election.Record) {
	n.mu.Lock()
	opts := n.opts
	n.mu.Unlock()
	o := newOwner(ctx, opts, c, *n.config.Load())
	defer o.relays.close()
	o.rivals = &n.rivals
	// The load that the owner before was pressed by is still there.
	o.demand.Restore(int(n.relays.Load()))
	o.missed = before.Resigned && before.HandedOver && before.Cores > opts.Cores
	go n.announce(ctx, before, c.Record(), func() {
		o.post(func() { o.state.PredecessorStopped(time.Now()) })
	})
	opts.lead(true)
	defer opts.lead(false)
	go o.keepRow()
	// Requests that come while the state is read wait for the loop.
	n.setLeader(c.Record(), o)
	if n.stopping() {
		go o.resign(ctx) // the stop began before this owner was known
	}
	if err := o.load(); err != nil {
		event.LoadFailed.Log(n.opts.Log, slog.Any("epoch", o.epoch), slog.Any("err", err))
		o.quit(err)
		close(o.stopped) // a stop of this host waits for it
		n.setLeader(election.Record{}, nil)
		return
	}
	o.run()
	event.OwnershipLost.Log(n.opts.Log, slog.Any("epoch", o.epoch), slog.Any("err", context.Cause(o.ctx)))
	n.setLeader(election.Record{}, nil)
}
