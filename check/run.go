package check

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the bounds that promises speak of.
type Limits struct {
	// LeavingGrace is how long after the list shows an endpoint as leaving
	// it may still get new work.
	LeavingGrace time.Duration
	// ConfigBound is how long after its acceptance a configuration must be
	// in force on every entry host.
	ConfigBound time.Duration
}

// DefaultLimits returns what the promises mean by "a few seconds".
func DefaultLimits() Limits {
	return Limits{LeavingGrace: 3 * time.Second, ConfigBound: 4 * time.Second}
}

// Report is the result of a check.
type Report struct {
	// Records is how many records were checked.
	Records    int         `json:"records"`
	Violations []Violation `json:"violations"`
}

// Run checks records against every promise with the default limits.
func Run(records []Record) Report { return RunWithLimits(records, DefaultLimits()) }

// RunWithLimits checks records against every promise.
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

// checkers are the checks by the promise that each is of.
var checkers = []struct {
	promise Promise
	check   func([]Record, Limits) []Violation
}{
	{SlotLimit, checkSlots},
	{CapacityLimit, checkCapacity},
	{SinglePlacement, checkOnePlace},
	{ResumedOnce, checkResumedOnce},
	{CompleteAnswer, checkAnswers},
	{NotRunAccurate, checkNotRun},
	{AtMostOnce, checkAtMostOnce},
	{NoWorkAfterLeaving, checkLeaving},
	{GracefulStop, checkDrain},
	{ConfigMonotonic, checkConfigMonotonic},
	{ConfigInTime, checkConfigInTime},
}

// Promises returns the promises that are checked, in order.
func Promises() []Promise {
	var out []Promise
	for _, c := range checkers {
		out = append(out, c.promise)
	}
	return out
}

// violation makes a violation shown by records.
func violation(p Promise, detail string, records ...Record) Violation {
	v := Violation{Promise: p, Detail: detail}
	for _, r := range records {
		v.Records = append(v.Records, r.Seq)
	}
	return v
}
