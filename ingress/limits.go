package ingress

import "time"

// Limits bound what all callers together make a process hold.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Bytes is the memory that connections and requests may hold.
	Bytes int64
	// TLS is set if connections are encrypted, which takes more memory.
	TLS bool
}

const (
	// Callers may hold one part in memoryShare of the process's memory. The role itself,
	// such as the owner of a large domain, needs most of the rest.
	memoryShare = 4
	// FileDescriptors is the part of the descriptors that is reserved for files.
	FileDescriptors = 200
	// Callers may hold one part in descriptorShare of the other descriptors. The rest is
	// for the store, peers, workers and operators.
	descriptorShare = 2

	// ReceiveBuffer is the size of the kernel's receive buffer of a caller's connection
	// in bytes. What is received and unread counts as memory of the process.
	ReceiveBuffer = 16 << 10
	// connectionBytes is what an open connection holds without a request: its goroutine
	// and its buffers.
	connectionBytes = 8 << 10
	// tlsBytes is what an encrypted connection holds in addition: its state and its
	// records.
	tlsBytes = 40 << 10
	// requestBytes is what a small request holds in addition: its header and body up to
	// freeBytes each, the larger stack of the goroutine and the receive buffer.
	requestBytes = 16<<10 + ReceiveBuffer
	// freeBytes is how much of a header or a body is included in requestBytes.
	freeBytes = 4 << 10
	// headerFactor is what a byte of a longer header holds: it is kept in a buffer and
	// as strings, both of which grow by copying.
	headerFactor = 4
	// bodyFactor is what a byte of a longer body holds: it is copied once.
	bodyFactor = 2
	// largeShare is the part of the bytes, in quarters, that longer headers and bodies
	// may hold. Small requests find room when large ones have used theirs up.
	largeShare = 3
)

// LimitsFor returns the limits of a process that may use memory, in bytes, and a number
// of descriptors.
func LimitsFor(memory int64, descriptors int) Limits {
	return Limits{
		Connections: max((descriptors-FileDescriptors)/descriptorShare, 1),
		Bytes:       max(memory/memoryShare, 2*(connectionBytes+requestBytes)),
	}
}

// Operators may have a few connections and one part in operatorMemoryShare of the
// process's memory, so that they reach it beside a crowd of callers.
const (
	operatorConnections = 64
	operatorMemoryShare = 16
)

// OperatorLimitsFor returns the limits of operators of a process that may use memory, in
// bytes. They come on top of those of callers.
func OperatorLimitsFor(memory int64) Limits {
	return Limits{Connections: operatorConnections, Bytes: memory / operatorMemoryShare}
}

// connection returns what an open connection holds without a request.
func (l Limits) connection() int64 {
	if l.TLS {
		return connectionBytes + tlsBytes
	}
	return connectionBytes
}

// large returns the bytes up to which longer headers and bodies may grow.
func (l Limits) large() int64 { return l.Bytes / 4 * largeShare }

// RequestLimits are the limits of a single request.
type RequestLimits struct {
	// HeaderBytes is the size of a header.
	HeaderBytes int
	// HeaderTime is how long a header may take from its first byte, IdleTime how long a
	// connection is kept without a request.
	HeaderTime, IdleTime time.Duration
}

const (
	// stallTime is the time without progress after which a request loses its place if
	// others need it.
	stallTime = time.Second
	// idleGrace is the same for a connection without a request.
	idleGrace = 250 * time.Millisecond
	// progressBytes is how much a client must send in stallTime for its request to
	// make progress.
	progressBytes = 4 << 10
	// responseTime is how long a client may take to read a part of a response that
	// fills the buffers between.
	responseTime = 5 * time.Second
	// MaxClosing is the number of connections that may lose their places at once. A new
	// connection beyond them is refused.
	MaxClosing = 64
	// RetryAfter is when a refused request may be sent again: by then clients that
	// stall have lost their places.
	RetryAfter = stallTime
)
