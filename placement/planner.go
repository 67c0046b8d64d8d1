package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/task"
)

// Planner is the contract between the owner of a worker shard (package batch)
// and placement decisions. Implementations are not safe for concurrent use.
type Planner interface {
	// SetPolicy replaces the policy. What was learned stays, but for the seed
	// of random choices, which is not taken in.
	SetPolicy(o Options)
	// SetHost adds a host or updates it.
	SetHost(h Host)
	// RemoveHost forgets a host; its runs must have been released.
	RemoveHost(name string)
	// Enqueue adds a pending job; one that is already pending is replaced.
	Enqueue(now time.Time, s task.Spec)
	// Withdraw drops a pending job.
	Withdraw(job string)
	// AdoptSized records that a job occupies host, where it reserves size, as
	// replay found it. It is recorded even if it does not fit.
	AdoptSized(s task.Spec, host string, size infra.Resources)
	// Release frees what a job occupies. With done, its run time and usage
	// are learned from.
	Release(now time.Time, job string, done bool)
	// RecordOOMKill records that the worker's guard killed a job's run for the
	// memory that it used. Call it before Release.
	RecordOOMKill(job string)
	// Avoid keeps a job off a host that it failed on.
	Avoid(job, host string)
	// Observe takes in a host's usage.
	Observe(u Usage)
	// Plan returns at most limit actions for now.
	Plan(now time.Time, limit int) []Action
	// SetAllotment bounds what team may reserve in this shard.
	SetAllotment(team string, allotment quota.Amount)
	// TeamUsage is what team reserves in this shard and what its pending jobs
	// ask for besides.
	TeamUsage(team string) (used, pending infra.Resources)
	// Capacity is what all hosts hold together.
	Capacity() infra.Resources
	// Forecast foresees every event as far as this shard goes, by learned run
	// times.
	Forecast(now time.Time) []forecast.Report
	// Explain says why a job is pending or where it runs, for people.
	Explain(job string) string
	// NeverFits reports whether no known host can ever hold the job, with
	// the nearest host and what lacks.
	NeverFits(s task.Spec) (reason string, never bool)
}
