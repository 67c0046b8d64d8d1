//go:build !race

package integration

// raceDetector tells whether the processes are built with the race detector,
// as the test is.
const raceDetector = false
