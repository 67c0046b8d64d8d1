package check

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the time bounds of the checks.
type Limits struct {
	// LeavingGrace is how long an endpoint may receive new requests after the
	// membership list shows it as leaving.
	LeavingGrace time.Duration
	// ZoneGrace is how long workers of an availability zone may start runs after the
	// zone was closed.
	ZoneGrace time.Duration
	// ConfigBound is the maximum time from the acceptance of a configuration
	// until it is in force on every entry host.
	ConfigBound time.Duration
}

// DefaultLimits returns the limits that Run uses.
func DefaultLimits() Limits {
	return Limits{LeavingGrace: 3 * time.Second, ZoneGrace: 5 * time.Second, ConfigBound: 4 * time.Second}
}

// Report is the result of checking a history.
type Report struct {
	// Records is the number of records checked.
	Records    int         `json:"records"`
	Violations []Violation `json:"violations"`
}

// Run checks records against all promises with DefaultLimits.
func Run(records []Record) Report { return RunWithLimits(records, DefaultLimits()) }

// RunWithLimits checks records against all promises. It sorts a copy of the
// records by time first.
func RunWithLimits(records []Record, limits Limits) Report {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b Record) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Seq, b.Seq))
	})
	report := Report{Records: len(records)}
	for _, c := range checkers {
		report.Violations = append(report.Violations, c.check(records, limits)...)
	}
	return report
}

var checkers = []struct {
	promise Promise
	check   func([]Record, Limits) []Violation
}{
	{SlotLimit, checkSlots},
	{CapacityLimit, checkCapacity},
	{SinglePlacement, checkSinglePlacement},
	{ResumedOnce, checkResumedOnce},
	{CompleteAnswer, checkAnswers},
	{NotRunAccurate, checkNotRun},
	{AtMostOnce, checkAtMostOnce},
	{NoWorkAfterLeaving, checkLeaving},
	{NoStartInClosedZone, checkClosedZones},
	{GracefulStop, checkDrain},
	{ConfigMonotonic, checkConfigMonotonic},
	{ConfigInTime, checkConfigInTime},
}

// Promises returns all promises in the order in which they are checked.
func Promises() []Promise {
	var out []Promise
	for _, c := range checkers {
		out = append(out, c.promise)
	}
	return out
}

// violation returns a Violation that refers to records as evidence.
func violation(p Promise, detail string, records ...Record) Violation {
	v := Violation{Promise: p, Detail: detail}
	for _, r := range records {
		v.Records = append(v.Records, r.Seq)
	}
	return v
}
