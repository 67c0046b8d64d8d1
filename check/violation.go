package check

// Promise names what a checker checks.
type Promise string

// The promises.
const (
	SlotLimit          Promise = "endpoint slots are never exceeded"
	CapacityLimit      Promise = "worker capacity is never exceeded"
	SinglePlacement    Promise = "a job never runs in two places"
	ResumedOnce        Promise = "evicted work resumes exactly once"
	CompleteAnswer     Promise = "every caller gets the whole answer to its own request"
	NotRunAccurate     Promise = "not run is true"
	AtMostOnce         Promise = "a booking runs at most once"
	NoWorkAfterLeaving Promise = "a leaving endpoint gets no new work after the grace"
	GracefulStop       Promise = "a planned stop cuts off no request"
	ConfigMonotonic    Promise = "a configuration never reverts"
	ConfigInTime       Promise = "a configuration is in force everywhere in time"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Records are the sequence numbers of the records that show it.
	Records []uint64 `json:"records"`
	// Detail is a sentence for people.
	Detail string `json:"detail"`
}
