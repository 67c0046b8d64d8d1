package estimate

import (
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

const (
	sizeQuantile   = 95
	memoryQuantile = 99
	runQuantile    = 90
	// priorSamples is how many samples the declared value weighs.
	priorSamples = 4
	// maxClasses bounds the classes remembered; the least recently learned
	// one goes first.
	maxClasses = 512
	// killRaise is by how much a kill raises the reservation, in permille.
	killRaise = 1500
	// floorDecay is what a run that ends well leaves of a kill's floor.
	floorDecay = 990
	// cpuStep and memoryStep are what learned sizes are rounded up to, so
	// that small changes leave pending jobs of a class alike.
	cpuStep    = 50
	memoryStep = 32
)

// Book holds the estimates of every class. It is not safe for concurrent use.
type Estimator struct {
	classes map[string]*class
	clock   uint64
}

// NewEstimator returns a Book that trusts what is declared.
func NewEstimator() *Estimator {
	return &Estimator{classes: map[string]*class{}}
}

// Size is what to reserve for a job: processors by a learned high quantile,
// weighed against the declared value by the number of runs seen; memory by
// the larger of declared and learned, and at least the job's own floor.
// Latency-critical work reserves at least the processors that it declares.
func (b *Estimator) Size(s task.Spec) infra.Resources {
	size := b.classSize(s)
	size.MemoryMB = max(size.MemoryMB, s.Floor.MemoryMB)
	return size
}

// classSize is the size by what is known of the job's class.
func (b *Estimator) classSize(s task.Spec) infra.Resources {
	size := s.Resources
	c, known := b.classes[s.Class]
	if !known {
		return size
	}
	cpu := blend(c.cpu)
	if cpu > permille || s.QoS != task.LatencyCritical {
		size.MilliCPU = scale(s.Resources.MilliCPU, cpu, cpuStep)
	}
	memory := max(blend(c.memory), c.memoryFloor)
	if memory > permille {
		size.MemoryMB = scale(s.Resources.MemoryMB, memory, memoryStep)
	}
	return size
}

// RunMS is the run time to plan with, in milliseconds; 0 for a standing job.
func (b *Estimator) RunMS(s task.Spec) int64 {
	c, known := b.classes[s.Class]
	if !known {
		return s.RunMS
	}
	return s.RunMS * blend(c.run) / permille
}

// LearnSize takes in the peak of what one run used.
func (b *Estimator) LearnSize(s task.Spec, peak infra.Resources) {
	c := b.class(s.Class)
	if s.Resources.MilliCPU > 0 && peak.MilliCPU > 0 {
		c.cpu.record(peak.MilliCPU * permille / s.Resources.MilliCPU)
	}
	if s.Resources.MemoryMB > 0 && peak.MemoryMB > 0 {
		c.memory.record(peak.MemoryMB * permille / s.Resources.MemoryMB)
	}
}

// LearnRun takes in the run time of a run that ended well, in milliseconds.
func (b *Estimator) LearnRun(s task.Spec, actualMS int64) {
	c := b.class(s.Class)
	c.memoryFloor = c.memoryFloor * floorDecay / permille
	if s.RunMS > 0 && actualMS > 0 {
		c.run.record(actualMS * permille / s.RunMS)
	}
}

// Killed raises the class's memory at once, after a run was killed for
// exceeding reserved.
func (b *Estimator) RecordOOMKill(s task.Spec, reserved infra.Resources) {
	if s.Resources.MemoryMB <= 0 {
		return
	}
	c := b.class(s.Class)
	raised := reserved.MemoryMB * killRaise / s.Resources.MemoryMB
	c.memoryFloor = min(max(c.memoryFloor, raised), maxRatio)
}

func (b *Estimator) class(name string) *class {
	b.clock++
	c, known := b.classes[name]
	if !known {
		b.makeRoom()
		c = newClass()
		b.classes[name] = c
	}
	c.used = b.clock
	return c
}

func (b *Estimator) makeRoom() {
	if len(b.classes) < maxClasses {
		return
	}
	oldest := ""
	for name, c := range b.classes {
		if oldest == "" || c.used < b.classes[oldest].used {
			oldest = name
		}
	}
	delete(b.classes, oldest)
}

// blend weighs the learned ratio against "as declared" by samples.
func blend(s *sketch) int64 {
	n := s.samples()
	if n == 0 {
		return permille
	}
	return (priorSamples*permille + n*s.value()) / (priorSamples + n)
}

// scale multiplies by a ratio in permille and rounds up to a step.
func scale(declared, ratio, step int64) int64 {
	scaled := declared * ratio / permille
	return (scaled + step - 1) / step * step
}
