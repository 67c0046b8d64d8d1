package workload

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// TestValidateNew guards against counts whose sum exceeds the range of an integer, and
// against jobs that cost hosts more than their number says.
func TestValidateNew(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Job)
		ok     bool
	}{
		{"as large as allowed", func(j *Job) { j.Payload, j.Steps[0].Tasks = strings.Repeat("a", MaxPayload), MaxTasks-1 }, true},
		{"payload", func(j *Job) { j.Payload = strings.Repeat("a", MaxPayload+1) }, false},
		{"a task more", func(j *Job) { j.Steps[0].Tasks = MaxTasks }, false},
		{"tasks whose sum overflows", func(j *Job) { j.Steps[0].Tasks, j.Steps[1].Tasks = math.MaxInt, math.MaxInt }, false},
		{"tasks whose product overflows", func(j *Job) { j.Steps[0].Tasks, j.Repeats = math.MaxInt/2, MaxRepeats }, false},
		{"processors", func(j *Job) { j.Steps[0].Needs.MilliCPU = math.MaxInt64 }, false},
		{"estimate", func(j *Job) { j.Steps[0].Estimate = math.MaxInt64 }, false},
		{"negative tail target", func(j *Job) { j.Steps[0].TailTarget = -1 }, false},
		{"image", func(j *Job) { j.Steps[0].Image = strings.Repeat("a", MaxName+1) }, false},
		{"due now and each hour", func(j *Job) { j.Repeats, j.FirstDue, j.Interval = 100, 1_800_000_000_000, time.Hour }, true},
		{"due after all times", func(j *Job) { j.Repeats, j.FirstDue = 1, math.MaxInt64 }, false},
		{"interval", func(j *Job) { j.Repeats, j.Interval = 2, math.MaxInt64 }, false},
		{"negative interval", func(j *Job) { j.Repeats, j.Interval = 2, -time.Second }, false},
	} {
		j := &Job{ID: "1", Steps: []Step{{Tasks: 1, Needs: infra.Resources{MilliCPU: 100}}, {Tasks: 1}}}
		c.change(j)
		if err := j.ValidateNew(); (err == nil) != c.ok {
			t.Errorf("%s: error %v, want one: %t", c.name, err, !c.ok)
		}
	}
}
