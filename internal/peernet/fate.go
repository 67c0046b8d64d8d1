package peernet

// Fate is what becomes of a request.
type Fate uint8

// The fates.
const (
	// Arrives: it is handled and answered.
	Arrives Fate = iota
	// Unreachable: no byte of it is sent.
	Unreachable
	// AnswerLost: it is handled, and the answer never comes.
	AnswerLost
)
