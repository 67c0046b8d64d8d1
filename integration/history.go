package integration

import (
	"os"

	"github.com/fireflygate/fireflygate/check"
)

// shownBreaches is how many breaches a failing test prints.
const shownBreaches = 10

// History returns all records so far, of the stand-ins and of the test
// process. It is whole once the traffic has ended and the endpoints are idle.
func (s *Site) History() []check.Record {
	s.t.Helper()
	file, err := os.Open(s.recordsFile())
	s.must(err)
	defer file.Close()
	records, err := check.Read(file)
	s.must(err)
	return append(records, s.Recorder.Records()...)
}

// Check checks the history against every promise, and fails the test for
// breaches.
func (s *Site) Check() {
	s.t.Helper()
	s.CheckWithLimits(check.DefaultLimits())
}

// CheckWithLimits is Check with other limits.
func (s *Site) CheckWithLimits(limits check.Limits) {
	s.t.Helper()
	records := s.settled()
	s.reportStrangers(records)
	s.report(check.RunWithLimits(records, limits))
}

// reportStrangers fails the test for requests at endpoints that no caller of
// the site sent. They would count against the slots, and are no fault of the
// site's entry hosts.
func (s *Site) reportStrangers(records []check.Record) {
	s.t.Helper()
	for _, r := range records {
		if b := r.RequestBegan; b != nil && b.Call == "" {
			s.t.Errorf("a stranger's %s request %q at %s", b.Method, b.Request, b.Endpoint)
			return
		}
	}
}

// report fails the test for the breaches that a check found.
func (s *Site) report(report check.Report) {
	s.t.Helper()
	for i, v := range report.Violations {
		if i == shownBreaches {
			s.t.Errorf("and %d more", len(report.Violations)-i)
			break
		}
		s.t.Errorf("breach: %s: %s", v.Promise, v.Detail)
	}
}

// settled waits until the endpoints are idle and returns the history.
func (s *Site) settled() []check.Record {
	s.t.Helper()
	var records []check.Record
	s.WaitUntil("the endpoints are idle", func() bool {
		records = s.History()
		busy := 0
		for _, r := range records {
			switch {
			case r.RequestBegan != nil:
				busy++
			case r.RequestEnded != nil:
				busy--
			}
		}
		return busy == 0
	})
	return records
}
