package batch

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/quota"
)

// Peer methods for the division of quotas.
const (
	methodQuota     peer.Method = "batch.quota"
	methodQuotaWant peer.Method = "batch.quota_want"
)

// quotaWantRequest names the teams whose pending jobs exceed their allotments.
type quotaWantRequest struct {
	Teams []string `msgpack:"t"`
}

type quotaWantReply struct{}

// quotaWantLocal expedites the next rounds of the teams.
func (m *Manager) quotaWantLocal(ctx context.Context, r quotaWantRequest) (quotaWantReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(quotaWantReply)) {
		for _, team := range r.Teams {
			if d := m.divisions[team]; d != nil {
				d.expedite(now)
			}
		}
		reply(quotaWantReply{})
	})
}

// quotaRequest sends the division of a team's quota to an owner of shards and
// requests its reports.
type quotaRequest struct {
	Team string `msgpack:"t"`
	// Version is the version of the division in the table; 0 for none.
	Version uint64       `msgpack:"v"`
	Shards  []shardBound `msgpack:"s"`
}

// shardBound is the bound and target of one shard.
type shardBound struct {
	Shard string       `msgpack:"h"`
	Bound quota.Amount `msgpack:"b"`
	// Target is the amount that the shard is to lower its allotment to.
	Target quota.Amount `msgpack:"t"`
}

// quotaReply holds a report on each of the shards that the host owns and where
// the quota applies.
type quotaReply struct {
	Reports []shardReport `msgpack:"r"`
}

type shardReport struct {
	Shard string `msgpack:"h"`
	// Fence is the version of the shard's row.
	Fence  uint64       `msgpack:"f"`
	Report quota.Report `msgpack:"r"`
}

// quotaLocal applies a division to the local shards and returns their reports.
func (m *Manager) quotaLocal(ctx context.Context, q quotaRequest) (quotaReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(quotaReply)) {
		var out quotaReply
		for _, b := range q.Shards {
			o := m.shards[b.Shard]
			if o == nil || !o.grantValid(now) {
				continue
			}
			if r, ok := o.applyDivision(q.Team, q.Version, b); ok {
				out.Reports = append(out.Reports, shardReport{Shard: b.Shard, Fence: o.fence.Version, Report: r})
			}
		}
		reply(out)
	})
}
