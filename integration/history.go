package integration

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/check"
)

// maxShownViolations limits the violations that a failing test prints.
const maxShownViolations = 10

// History returns the records so far of the stand-ins and the test process. It is
// complete once the traffic has ended and the endpoints are idle.
func (s *Site) History() []check.Record {
	s.t.Helper()
	records, _ := s.historySoFar()
	return records
}

// historySoFar returns the records so far. finished is false if the stand-ins are
// just writing another.
func (s *Site) historySoFar() (records []check.Record, finished bool) {
	s.t.Helper()
	file, err := os.Open(s.recordsFile())
	s.must(err)
	defer file.Close()
	records, err = check.Read(file)
	finished = !errors.Is(err, check.ErrUnfinished)
	if finished {
		s.must(err)
	}
	return append(records, s.Recorder.Records()...), finished
}

// Check checks the history against all promises and fails the test for each
// violation. It waits until the endpoints are idle.
func (s *Site) Check() {
	s.t.Helper()
	s.CheckWithLimits(check.DefaultLimits())
}

// CheckWithLimits is like Check with the given limits.
func (s *Site) CheckWithLimits(limits check.Limits) {
	s.t.Helper()
	records := s.idleHistory()
	s.reportUnknownRequests(records)
	s.report(check.RunWithLimits(records, limits))
}

// reportUnknownRequests fails the test if an endpoint received a request that no
// caller of the site sent. Such a request occupies a slot but isn't a fault of the
// site's entry hosts.
func (s *Site) reportUnknownRequests(records []check.Record) {
	s.t.Helper()
	for _, r := range records {
		if b := r.RequestBegan; b != nil && b.Call == "" {
			s.t.Errorf("unknown %s request %q at %s, not sent by a caller of this site", b.Method, b.Request, b.Endpoint)
			return
		}
	}
}

// report fails the test for each violation in a report.
func (s *Site) report(report check.Report) {
	s.t.Helper()
	for i, v := range report.Violations {
		if i == maxShownViolations {
			s.t.Errorf("%d more violations", len(report.Violations)-i)
			break
		}
		s.t.Errorf("violation: %s: %s", v.Promise, v.Detail)
	}
}

// idleHistory waits until the endpoints are idle and returns the history. A record
// that stays unfinished fails the test.
func (s *Site) idleHistory() []check.Record {
	s.t.Helper()
	var records []check.Record
	s.WaitUntil("the endpoints are idle", func() bool {
		var finished bool
		records, finished = s.historySoFar()
		busy := 0
		for _, r := range records {
			switch {
			case r.RequestBegan != nil:
				busy++
			case r.RequestEnded != nil:
				busy--
			}
		}
		return finished && busy == 0
	})
	return records
}
