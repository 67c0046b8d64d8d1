package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestParse parses the files of each case, separated by lines "-- name", and
// prints some of the values or all problems.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		scope := Policy
		if d.HasArg("process") {
			scope = Process
		}
		s, err := Parse("folder", split(d.Input), scope)
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("timeout=%s queue=%d services=%v teams=%v\n",
			s.Calls.Timeout.D(), s.Calls.Queue, s.Services, s.Teams)
	})
}

// split splits an input into files at lines "-- name".
func split(input string) []File {
	var files []File
	for _, line := range strings.SplitAfter(input, "\n") {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "-- "); ok {
			files = append(files, File{Name: name})
			continue
		}
		last := &files[len(files)-1]
		last.Data = append(last.Data, line...)
	}
	return files
}

func TestPolicyRoundTrip(t *testing.T) {
	s := Default()
	s.Services = map[string]Service{"dispatch": {Slots: 8, Connections: 64, IdempotentMethods: []string{"GET"}}}
	s.Objectives = map[string]Objective{
		"gate": {Service: "dispatch", Latency: Duration(200 * time.Millisecond), Target: 0.99, Period: Duration(720 * time.Hour)},
	}
	content, err := MarshalPolicy(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := ParsePolicy("applied", content)
	if err != nil {
		t.Fatal(err)
	}
	again, err := MarshalPolicy(back)
	if err != nil {
		t.Fatal(err)
	}
	if again != content {
		t.Fatalf("policy changed in a round trip:\n%s\n%s", content, again)
	}
}

// TestServiceFieldsSurviveRoundTrip guards against a service's field that
// MarshalPolicy omits, and against an unset list that is read back as an empty one.
func TestServiceFieldsSurviveRoundTrip(t *testing.T) {
	if fields, encoded := reflect.TypeFor[Service]().NumField(), reflect.TypeFor[serviceText]().NumField(); fields != encoded {
		t.Errorf("%d fields of a service, %d are encoded", fields, encoded)
	}
	s := Default()
	s.Services = map[string]Service{
		"unset": {Slots: 8, Connections: 64},
		"none":  {Slots: 8, Connections: 64, IdempotentMethods: []string{}},
		"some":  {Slots: 9, Connections: 65, IdempotentMethods: []string{"GET", "PUT"}},
	}
	content, err := MarshalPolicy(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := ParsePolicy("applied", content)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back.Services, s.Services) {
		t.Errorf("services %+v after a round trip, want %+v", back.Services, s.Services)
	}
}

func TestEventNext(t *testing.T) {
	e := Event{Start: "06:00", Location: "Europe/Rome"}
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	got, err := e.Next(now)
	if err != nil {
		t.Fatal(err)
	}
	want := time.Date(2026, 12, 3, 5, 0, 0, 0, time.UTC)
	if !got.Equal(want) {
		t.Fatalf("next start %s, want %s", got, want)
	}
}
