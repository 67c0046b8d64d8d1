package estimate

import (
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

const (
	sizeQuantile   = 95
	memoryQuantile = 99
	runQuantile    = 90
	// priorSamples is the weight of the declared value, in samples.
	priorSamples = 4
	// maxClasses bounds the number of classes; beyond it the least recently
	// updated one is dropped.
	maxClasses = 512
	// killRaise is the factor by which an out-of-memory kill raises the
	// reservation, in permille.
	killRaise = 1500
	// floorDecay is the part of the memory floor that a successful run leaves,
	// in permille.
	floorDecay = 990
	// cpuStep and memoryStep are the units that learned sizes are rounded up
	// to, in thousandths of a core and megabytes, so that pending jobs of a
	// class get equal sizes.
	cpuStep    = 50
	memoryStep = 32
)

// Estimator holds the estimates of every class. It is not safe for concurrent
// use.
type Estimator struct {
	classes map[string]*class
	clock   uint64
}

// NewEstimator returns an Estimator without samples, which estimates what jobs
// declare.
func NewEstimator() *Estimator {
	return &Estimator{classes: map[string]*class{}}
}

// Size returns what to reserve for a job. Processors are a high quantile of
// past usage, combined with the declared value according to the number of
// samples. Memory is the larger of the declared and the learned value, and at
// least the job's floor. Latency-critical jobs get at least the processors
// that they declare.
func (e *Estimator) Size(s task.Spec) infra.Resources {
	size := e.classSize(s)
	size.MemoryMB = max(size.MemoryMB, s.Floor.MemoryMB)
	return size
}

// classSize returns the size without the job's own floor.
func (e *Estimator) classSize(s task.Spec) infra.Resources {
	size := s.Resources
	c, known := e.classes[s.Class]
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

// RunMS returns the expected run time, in milliseconds; 0 for a standing job.
func (e *Estimator) RunMS(s task.Spec) int64 {
	c, known := e.classes[s.Class]
	if !known {
		return s.RunMS
	}
	return s.RunMS * blend(c.run) / permille
}

// LearnSize records the peak usage of a run.
func (e *Estimator) LearnSize(s task.Spec, peak infra.Resources) {
	c := e.class(s.Class)
	if s.Resources.MilliCPU > 0 && peak.MilliCPU > 0 {
		c.cpu.record(peak.MilliCPU * permille / s.Resources.MilliCPU)
	}
	if s.Resources.MemoryMB > 0 && peak.MemoryMB > 0 {
		c.memory.record(peak.MemoryMB * permille / s.Resources.MemoryMB)
	}
}

// LearnRun records the run time of a successful run, in milliseconds.
func (e *Estimator) LearnRun(s task.Spec, actualMS int64) {
	c := e.class(s.Class)
	c.memoryFloor = c.memoryFloor * floorDecay / permille
	if s.RunMS > 0 && actualMS > 0 {
		c.run.record(actualMS * permille / s.RunMS)
	}
}

// RecordOOMKill raises the memory of the class after a run was killed for
// exceeding reserved.
func (e *Estimator) RecordOOMKill(s task.Spec, reserved infra.Resources) {
	if s.Resources.MemoryMB <= 0 {
		return
	}
	c := e.class(s.Class)
	raised := reserved.MemoryMB * killRaise / s.Resources.MemoryMB
	c.memoryFloor = min(max(c.memoryFloor, raised), maxRatio)
}

func (e *Estimator) class(name string) *class {
	e.clock++
	c, known := e.classes[name]
	if !known {
		e.evictOldest()
		c = newClass()
		e.classes[name] = c
	}
	c.lastUpdate = e.clock
	return c
}

func (e *Estimator) evictOldest() {
	if len(e.classes) < maxClasses {
		return
	}
	oldest := ""
	for name, c := range e.classes {
		if oldest == "" || c.lastUpdate < e.classes[oldest].lastUpdate {
			oldest = name
		}
	}
	delete(e.classes, oldest)
}

// blend returns the mean of the learned ratio and the declared value, weighted
// by samples, in permille.
func blend(s *sketch) int64 {
	n := s.samples()
	if n == 0 {
		return permille
	}
	return (priorSamples*permille + n*s.value()) / (priorSamples + n)
}

// scale multiplies by a ratio in permille and rounds up to a multiple of step.
func scale(declared, ratio, step int64) int64 {
	scaled := declared * ratio / permille
	return (scaled + step - 1) / step * step
}
