package check

// Promise is the text of a guarantee that a checker verifies.
type Promise string

// The promises that Run checks.
const (
	SlotLimit           Promise = "endpoint slots are never exceeded"
	CapacityLimit       Promise = "worker capacity is never exceeded"
	SinglePlacement     Promise = "a job never runs in two places"
	ResumedOnce         Promise = "evicted work resumes exactly once"
	CompleteAnswer      Promise = "every caller gets the whole answer to its own request"
	NotRunAccurate      Promise = "not run is true"
	AtMostOnce          Promise = "a booking runs at most once"
	NoWorkAfterLeaving  Promise = "a leaving endpoint gets no new work after the grace"
	NoStartInClosedZone Promise = "a closed availability zone gets no starts after the grace"
	GracefulStop        Promise = "a planned stop cuts off no request"
	ConfigMonotonic     Promise = "a configuration never reverts"
	ConfigInTime        Promise = "a configuration is in force everywhere in time"
)

// Violation is one breach of a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Records holds the sequence numbers of the records that show the breach.
	Records []uint64 `json:"records"`
	// Detail describes the breach for a reader.
	Detail string `json:"detail"`
}
