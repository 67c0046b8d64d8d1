//go:build !race

package integration

// raceDetector reports whether this build uses the race detector. Build follows it.
const raceDetector = false
