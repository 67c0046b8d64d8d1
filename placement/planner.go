package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/task"
)

// Planner is the interface between the owner of a worker shard (package batch)
// and placement. Implementations are not safe for concurrent use.
type Planner interface {
	// SetPolicy replaces the policy. Estimates and the seed of random choices
	// are kept.
	SetPolicy(o Options)
	// SetHost adds or updates a host.
	SetHost(h Host)
	// RemoveHost removes a host. The caller releases its runs first.
	RemoveHost(name string)
	// Enqueue adds a pending job, replacing one with the same ID.
	Enqueue(now time.Time, s task.Spec)
	// Withdraw removes a pending job.
	Withdraw(job string)
	// AdoptSized records that a job occupies host and reserves size, as found
	// by replay. It records the run even if it doesn't fit.
	AdoptSized(s task.Spec, host string, size infra.Resources)
	// Release frees what a job occupies. If done is set, its run time and
	// usage are learned.
	Release(now time.Time, job string, done bool)
	// RecordOOMKill records that a job's run was killed for exceeding its
	// memory. It must be called before Release.
	RecordOOMKill(job string)
	// Avoid keeps a job off a host on which it failed.
	Avoid(job, host string)
	// Observe records a host's usage.
	Observe(u Usage)
	// Plan returns at most limit actions for now.
	Plan(now time.Time, limit int) []Action
	// SetAllotment bounds what team may reserve in this shard.
	SetAllotment(team string, allotment quota.Amount)
	// TeamUsage returns what team reserves in this shard and what its pending
	// jobs request in addition.
	TeamUsage(team string) (used, pending infra.Resources)
	// Capacity returns the total capacity of all hosts.
	Capacity() infra.Resources
	// Forecast returns a report on every event for this shard.
	Forecast(now time.Time) []forecast.Report
	// Explain returns, for users, why a job is pending or where it runs.
	Explain(job string) string
	// NeverFits reports whether the job doesn't fit on any known host, even an
	// empty one, and names the host that comes closest and what it lacks.
	NeverFits(s task.Spec) (reason string, never bool)
}
