package standin

// outcome is the outcome of a request under injected faults.
type outcome uint8

const (
	// processed means that the request took effect and gets a reply.
	processed outcome = iota
	// refused means that the request had no effect, as its reply says.
	refused
	// lost means that there is no reply; the request may have taken effect or may
	// do so later.
	lost
)
