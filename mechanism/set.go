package mechanism

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism is one part of the scheduling policy.
type Mechanism uint8

// The mechanisms, each with what happens without it.
const (
	// Timeliness: steps wait by arrival, whatever they can still reach.
	Timeliness Mechanism = iota
	// ReservedCapacity: no worker is kept for a step that fits nowhere yet.
	ReservedCapacity
	// Headroom: long-running tasks begin wherever they fit.
	Headroom
	// Preemption: nothing gives way to a queue that comes first.
	Preemption
	// CPULimits: fillers beside a long tail are moved or stand still, not slowed.
	CPULimits
	// Moving: fillers beside a long tail are slowed or stand still, not moved.
	Moving
	// LoadForecast: a serving task's load is taken to stay as it is.
	LoadForecast
	// PairEffects: all images are taken to disturb each other alike.
	PairEffects
	// ClassAffinity: serving tasks are placed without regard to who serves there.
	ClassAffinity
	// SpreadFirst: long-running tasks are placed as they come, steps that must
	// spread not before others.
	SpreadFirst
	// BlockOverTarget: fillers may join a tail over its target if the model allows it.
	BlockOverTarget
	// SpeculativeRuns: speculative tasks get no second run.
	SpeculativeRuns
	// FailingWorkers: workers that fail all they get are used like others.
	FailingWorkers
	// NoCapacityPause: a worker that refused a start for want of room gets the next
	// at once.
	NoCapacityPause
	// StoredEstimates: a new owner learns anew what images do to each other.
	StoredEstimates
	mechanisms
)

// names are the mechanisms as settings name them.
var names = [mechanisms]string{
	"hope", "kept-room", "headroom", "preemption", "pacing", "moving", "foresight", "pairs", "classes",
	"bounded-first", "tail-stop", "copies", "suspects", "room-pause", "lessons",
}

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// Has reports whether the set holds the mechanism.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Of returns the set of the mechanisms.
func Of(all ...Mechanism) Set {
	var s Set
	for _, m := range all {
		s |= 1 << m
	}
	return s
}

// Names returns the names of all mechanisms.
func Names() []string { return slices.Clone(names[:]) }

// Parse reads names with commas between them; nothing stands for the empty set.
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
