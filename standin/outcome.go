package standin

// verdict is what became of a request at a faulty service.
type verdict uint8

const (
	// processed: the request took effect and is answered.
	processed verdict = iota
	// refused: nothing took effect, and the sender is told.
	refused
	// lost: the sender gets no answer; the request may have taken effect or
	// may do so later.
	lost
)
