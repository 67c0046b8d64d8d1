package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// watchLeader pings the owner until there is a reason to suspect it, and
// returns the suspicion. It returns early if the context ends.
func (n *Node) watchLeader(ctx context.Context, leader election.Record) (s suspicion) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		r, res := n.pingWatchingRow(ctx, leader, &s)
		switch res {
		case outcome.NotRun:
			s.reason, s.terminated = "unreachable", true
			return s
		case outcome.Unknown:
			s.reason = "no answer"
			return s
		}
		a := r.status()
		s.reason, s.terminated = a.SuspectReason(&leader)
		s.commitsLate, s.askedAt, s.answeredAt = a.CommitsLate(&leader, s.readTime), time.Now(), time.Now()
		if a.Owns(&leader) {
			s.version, s.since = r.Version, time.Now().Add(-a.CommitAge)
		}
		if s.reason != "" {
			return s
		}
		n.recordLeaderAnswer()
		select {
		case <-t.C:
		case <-ctx.Done():
			return s
		}
	}
}

// ping asks the owner for its status, and records the hosts and the number of
// relays that the owner reports.
func (n *Node) ping(ctx context.Context, leader election.Record) (pingReply, outcome.Kind) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var r pingReply
	q := pingRequest{
		Epoch: leader.Epoch, Address: n.opts.Address, Hosts: n.hostCount(), Cores: n.offeredCores(), Zone: n.opts.Zone, Life: election.LifeOf(n.opts.Incarnation),
		ClosedZones: toldClosedZones(n.ClosedZones()),
	}
	sentAt := boottime()
	res := n.client.Call(ctx, leader.Host, methodPing, q, &r)
	if errors.Is(res.Err, peer.ErrDialTimeout) {
		res.Kind = outcome.Unknown // all hosts connect to a new owner at once, so it may be busy
	}
	n.loads.setUnanswered(res.Kind != outcome.Answered)
	n.setHosts(r.Hosts)
	n.hearClosedZones(r.ClosedZones, leader.Host)
	if r.Owner {
		n.relaysPerZone.Store(int64(r.Relays))
		n.loads.hear(r.Loads, sentAt)
	}
	return r, res.Kind
}

// pingWatchingRow pings the owner and, when the answer is late, also reads the owner's row
// into s. If the owner doesn't answer at all, the time in which its row must stay unchanged
// has then begun before the ping's timeout, so that the owner is replaced sooner.
func (n *Node) pingWatchingRow(ctx context.Context, leader election.Record, s *suspicion) (pingReply, outcome.Kind) {
	var r pingReply
	var res outcome.Kind
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		r, res = n.ping(ctx, leader)
	}()
	late := time.NewTimer(latePing)
	defer late.Stop()
	select {
	case <-answered:
	case <-late.C:
		n.observeRow(ctx, leader, s)
		<-answered
	}
	return r, res
}

// observeRow reads the owner's row, and records its version in s unless it is known or
// the row names another owner.
func (n *Node) observeRow(ctx context.Context, leader election.Record, s *suspicion) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout-latePing)
	defer cancel()
	record, version, err := n.readOwner(ctx)
	if err == nil && record.SameOwnership(&leader) && (s.since.IsZero() || version != s.version) {
		s.version, s.since = version, time.Now()
	}
}

// hostCount returns the number of known hosts.
func (n *Node) hostCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.hosts)
}
