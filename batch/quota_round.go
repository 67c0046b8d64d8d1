package batch

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/quota"
)

// round is one division of one team's quota; it runs on its own goroutine.
type round struct {
	manager *Manager
	team    string
	quota   quota.Amount
	// shards are the worker shards by owner.
	shards map[string][]string
	// stored is the division to replace; known is set if it was read.
	stored  storedDivision
	known   bool
	targets map[string]quota.Amount
	// changed is set if the division was replaced.
	changed bool
}

// run divides the quota once: it requests the owners' reports and commits the
// resulting division if it differs.
func (r *round) run(ctx context.Context) {
	if !r.known && !r.read(ctx) {
		return
	}
	answers := r.askOwners(ctx)
	reports := r.reports(answers)
	next, targets := r.stored.division.Next(r.quota, reports)
	r.targets = targets
	for range maxExtraAsks {
		if !hasUnmetDemand(reports, next) || !canLowerBounds(r.targets, next) {
			break
		}
		// Other shards have lowered their allotments; reassign these amounts
		// now rather than in the next round.
		answers = r.askOwners(ctx)
		reports = r.reports(answers)
		next, r.targets = r.stored.division.Next(r.quota, reports)
	}
	if next.Equal(r.stored.division) {
		return
	}
	version, ok := r.commit(ctx, next, answers)
	r.known = ok
	if !ok {
		return // the next round reads the division again
	}
	r.changed = true
	r.stored = storedDivision{division: next, version: version}
	r.askOwners(ctx)
}

// maxExtraAsks is how many times a round repeats its requests while a shard has
// unmet demand and others hold a surplus. Each request halves the surplus.
const maxExtraAsks = 3

// hasUnmetDemand reports whether a shard's demand exceeds its bound.
func hasUnmetDemand(reports map[string]quota.Report, next quota.Division) bool {
	for shard, r := range reports {
		hasDemand := r.Demand != (infra.Resources{})
		if hasDemand && !next.Bounds[shard].Allows(r.Used, r.Demand) {
			return true
		}
	}
	return false
}

// canLowerBounds reports whether a shard's target is below its bound.
func canLowerBounds(targets map[string]quota.Amount, next quota.Division) bool {
	for shard, target := range targets {
		bound := next.Bounds[shard]
		if target.MilliCPU < bound.MilliCPU || target.MemoryMB < bound.MemoryMB {
			return true
		}
	}
	return false
}

// read reads the division from the table and reports whether it succeeded.
func (r *round) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.manager.config.Timeout)
	defer cancel()
	rows, err := r.manager.config.Table.Get(ctx, quotaKey(r.team))
	if err != nil || len(rows) != 1 {
		return false
	}
	r.stored = storedDivision{version: rows[0].Version}
	if rows[0].Version != 0 && msgpack.Unmarshal(rows[0].Value, &r.stored.division) != nil {
		return false
	}
	r.known = true
	return true
}

// askOwners sends the division to all owners and returns their reports by shard.
func (r *round) askOwners(ctx context.Context) map[string]shardReport {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]shardReport{}
	for host, shards := range r.shards {
		wg.Go(func() {
			reply := r.askHost(ctx, host, shards)
			mu.Lock()
			defer mu.Unlock()
			for _, report := range reply.Reports {
				answers[report.Shard] = report
			}
		})
	}
	wg.Wait()
	return answers
}

func (r *round) askHost(ctx context.Context, host string, shards []string) quotaReply {
	request := quotaRequest{Team: r.team, Version: r.stored.version}
	for _, shard := range shards {
		target, ok := r.targets[shard]
		if !ok {
			target = quota.NewAmount(0, 0)
		}
		request.Shards = append(request.Shards, shardBound{
			Shard: shard, Bound: r.stored.division.Bounds[shard], Target: target,
		})
	}
	if host == r.manager.config.Host {
		reply, _ := r.manager.quotaLocal(ctx, request)
		return reply
	}
	var reply quotaReply
	if r.manager.config.Transport.Call(ctx, host, methodQuota, request, &reply).Kind != outcome.Answered {
		return quotaReply{}
	}
	return reply
}

// reports returns the reports for the next division. If more than maxLowered
// shards hold less than their bounds, the rest count as holding their bounds.
func (r *round) reports(answers map[string]shardReport) map[string]quota.Report {
	out := make(map[string]quota.Report, len(answers))
	lowered := 0
	for shard, a := range answers {
		report := a.Report
		bound := r.stored.division.Bounds[shard]
		if report.Held.MilliCPU < bound.MilliCPU || report.Held.MemoryMB < bound.MemoryMB {
			lowered++
			if lowered > maxLowered {
				report.Held = bound
			}
		}
		out[shard] = report
	}
	return out
}

// commit replaces the division, on condition that the owners of lowered shards
// still own them: a newer owner would use the old bound.
func (r *round) commit(ctx context.Context, next quota.Division, answers map[string]shardReport) (version uint64, ok bool) {
	conditions := []infra.Condition{{Key: quotaKey(r.team), Version: r.stored.version}}
	if !r.manager.faults.unfencedQuota {
		for _, shard := range r.stored.division.Lowered(next) {
			conditions = append(conditions, infra.Condition{Key: shardKey(shard), Version: answers[shard].Fence})
		}
	}
	result := make(chan infra.CommitResult, 1)
	r.manager.config.Journal.Append(journal.Entry{
		Conditions: conditions,
		Writes:     []infra.Write{{Key: quotaKey(r.team), Value: encode(next)}},
		Urgent:     true, // urgent jobs may wait for it
		Deadline:   r.manager.config.Now().Add(r.manager.config.Timeout),
		Done:       func(c infra.CommitResult) { result <- c },
	})
	select {
	case c := <-result:
		return c.Version, c.Status == infra.CommitApplied
	case <-ctx.Done():
		return 0, false
	}
}

// nextDelay returns the time until the next round.
func (r *round) nextDelay() time.Duration {
	if r.changed || !r.known {
		return divideMinInterval
	}
	return divideInterval
}
