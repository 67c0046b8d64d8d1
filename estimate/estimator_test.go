package estimate

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

func spec(qos task.QoS) task.Spec {
	return task.Spec{
		Class: "plan", QoS: qos, RunMS: 60_000,
		Resources: infra.Resources{MilliCPU: 4000, MemoryMB: 8000},
	}
}

// within reports whether got is at most a tenth below or a quarter above want.
func within(got, want int64) bool { return got >= want*9/10 && got <= want*5/4 }

func TestLearnsActualSizes(t *testing.T) {
	tests := []struct {
		name          string
		qos           task.QoS
		ratio         float64
		cpu, mem, run int64
	}{
		{"declared four times too large", task.Batch, 0.25, 1000, 8000, 15_000},
		{"declared four times too small", task.Batch, 4, 16_000, 32_000, 240_000},
		{"latency-critical keeps declared processors", task.LatencyCritical, 0.25, 4000, 8000, 15_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, s := NewEstimator(), spec(tt.qos)
			for range 100 {
				b.LearnSize(s, infra.Resources{
					MilliCPU: int64(tt.ratio * 4000),
					MemoryMB: int64(tt.ratio * 8000),
				})
				b.LearnRun(s, int64(tt.ratio*60_000))
			}
			size := b.Size(s)
			if !within(size.MilliCPU, tt.cpu) || !within(size.MemoryMB, tt.mem) || !within(b.RunMS(s), tt.run) {
				t.Errorf("size %+v, run time %d ms", size, b.RunMS(s))
			}
		})
	}
}

func TestFewSamplesStayNearDeclared(t *testing.T) {
	b, s := NewEstimator(), spec(task.Batch)
	if b.Size(s) != s.Resources || b.RunMS(s) != s.RunMS {
		t.Error("estimates without samples differ from the declared values")
	}
	b.LearnSize(s, infra.Resources{MilliCPU: 1000, MemoryMB: 1000})
	if got := b.Size(s).MilliCPU; got < 3000 || got >= 4000 {
		t.Errorf("estimate %d after one sample of 1000; want 3000 to 4000, near the declared 4000", got)
	}
}

func TestOOMKillRaisesMemoryAndDecays(t *testing.T) {
	b, s := NewEstimator(), spec(task.Batch)
	b.RecordOOMKill(s, s.Resources)
	if got := b.Size(s).MemoryMB; got < 12_000 {
		t.Fatalf("%d MB after an out-of-memory kill at 8000 MB, want at least 12000", got)
	}
	reserved := b.Size(s)
	b.RecordOOMKill(s, reserved)
	if got := b.Size(s).MemoryMB; got < 18_000 {
		t.Fatalf("%d MB after a second out-of-memory kill at %d MB, want at least 18000", got, reserved.MemoryMB)
	}
	for range 200 {
		b.LearnSize(s, infra.Resources{MemoryMB: 6000})
		b.LearnRun(s, 60_000)
	}
	if got := b.Size(s).MemoryMB; got != 8000 {
		t.Errorf("%d MB after 200 successful runs, want the declared 8000", got)
	}
}

func TestOldSamplesAreDropped(t *testing.T) {
	b, s := NewEstimator(), spec(task.Batch)
	for _, used := range []int64{16_000, 1000} {
		for range 2 * windowSamples {
			b.LearnSize(s, infra.Resources{MilliCPU: used})
		}
		if got := b.Size(s).MilliCPU; !within(got, used) {
			t.Errorf("estimate %d after samples of %d", got, used)
		}
	}
}

func TestClassesAreBounded(t *testing.T) {
	b := NewEstimator()
	for i := range 2 * maxClasses {
		s := spec(task.Batch)
		s.Class = fmt.Sprint(i)
		b.LearnRun(s, 1)
	}
	if len(b.classes) != maxClasses {
		t.Errorf("%d classes kept", len(b.classes))
	}
}
