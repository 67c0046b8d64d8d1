package estimate

// class is what is known of one job class: ratios of the truth to what was
// declared.
type class struct {
	cpu    *sketch
	memory *sketch
	run    *sketch
	// memoryFloor is the least memory ratio since a run was killed, in
	// permille; it decays with each run that ends well.
	memoryFloor int64
	used        uint64
}

func newClass() *class {
	return &class{
		cpu:    newSketch(sizeQuantile),
		memory: newSketch(memoryQuantile),
		run:    newSketch(runQuantile),
	}
}
