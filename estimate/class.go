package estimate

// class holds the ratios of actual to declared values of a job class.
type class struct {
	cpu    *sketch
	memory *sketch
	run    *sketch
	// memoryFloor is the least memory ratio after an out-of-memory kill, in
	// permille; it decays with each successful run.
	memoryFloor int64
	lastUpdate  uint64
}

func newClass() *class {
	return &class{
		cpu:    newSketch(sizeQuantile),
		memory: newSketch(memoryQuantile),
		run:    newSketch(runQuantile),
	}
}
