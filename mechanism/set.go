package mechanism

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism is one part of the scheduling policy that can be disabled.
type Mechanism uint8

// The mechanisms, each with the behaviour when it is disabled.
const (
	// Timeliness: steps are queued in order of arrival, even if they can no
	// longer finish on time.
	Timeliness Mechanism = iota
	// ReservedCapacity: no worker is reserved for a step that currently fits
	// nowhere.
	ReservedCapacity
	// Headroom: long-running tasks start wherever they fit.
	Headroom
	// Preemption: no running task is preempted for a queue with precedence.
	Preemption
	// CPULimits: best-effort tasks on a worker whose tail latency is too long
	// are moved or paused, but not slowed down.
	CPULimits
	// Moving: best-effort tasks on a worker whose tail latency is too long are
	// slowed down or paused, but not moved.
	Moving
	// LoadForecast: the load of a serving task is assumed to stay constant.
	LoadForecast
	// PairEffects: all images are assumed to interfere with each other equally.
	PairEffects
	// ClassAffinity: serving tasks are placed regardless of the classes that
	// already serve on a worker.
	ClassAffinity
	// SpreadFirst: long-running tasks are placed in order of arrival; steps
	// that must spread over workers don't go first.
	SpreadFirst
	// BlockOverTarget: best-effort tasks may start on a worker whose tail
	// latency is over its target if the interference model allows it.
	BlockOverTarget
	// SpeculativeRuns: speculative tasks get no second run.
	SpeculativeRuns
	// FailingWorkers: workers on which every run fails are not avoided.
	FailingWorkers
	// NoCapacityPause: a worker that refused a start for lack of capacity is
	// sent the next start immediately.
	NoCapacityPause
	// StoredEstimates: a new owner doesn't load the interference estimates of
	// its predecessor.
	StoredEstimates
	// LearnedRunTimes: tasks are expected to run as long as their callers declare.
	LearnedRunTimes
	// LeastWork: steps that can still be on time are queued by their latest start.
	LeastWork
	// WorkerPace: slow workers are treated like others, and copies of speculative
	// tasks are decided by declared run times.
	WorkerPace
	// Shares: the guaranteed shares of queues are ignored.
	Shares
	// Admission: jobs are accepted regardless of the backlog in a full pool.
	Admission
	mechanismCount
)

// names holds the name of each mechanism in the settings.
var names = [mechanismCount]string{
	"hope", "kept-room", "headroom", "preemption", "pacing", "moving", "foresight", "pairs", "classes",
	"bounded-first", "tail-stop", "copies", "suspects", "room-pause", "lessons", "run-times", "least-work",
	"pace", "shares",
	"admission",
}

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// Has reports whether s contains m.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Of returns the set of the given mechanisms.
func Of(all ...Mechanism) Set {
	var s Set
	for _, m := range all {
		s |= 1 << m
	}
	return s
}

// Names returns the names of all mechanisms in the settings.
func Names() []string { return slices.Clone(names[:]) }

// Parse reads a comma-separated list of names; an empty list is the empty set.
func Parse(list string) (Set, error) {
	var s Set
	if list == "" {
		return s, nil
	}
	for name := range strings.SplitSeq(list, ",") {
		i := slices.Index(names[:], name)
		if i < 0 {
			return 0, errors.Newf("unknown mechanism %q, want some of %s", name, strings.Join(names[:], ", "))
		}
		s |= 1 << i
	}
	return s, nil
}
