package peer

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// messageKind tells what a frame carries.
type messageKind uint8

const (
	kindHello messageKind = iota + 1
	kindRequest
	kindReply
	// kindGoodbye: the server is shutting down; the client sends nothing new
	// and closes the connection once its last reply has come.
	kindGoodbye
)

// replyStatus tells what became of a request at the peer.
type replyStatus uint8

const (
	// statusAnswered: Body is the handler's answer.
	statusAnswered replyStatus = iota + 1
	// statusFailed: the handler returned Error.
	statusFailed
	// statusRefused: no handler was called.
	statusRefused
)

// message is the body of every frame.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind messageKind
	// ID correlates a reply with its request; it is never used twice in a
	// connection.
	ID     uint64
	Method Method
	Status replyStatus
	Error  string
	// RemainingMS is the time left of a request's deadline when it was
	// sent, in milliseconds; 0 for none.
	RemainingMS int64
	Body        msgpack.RawMessage
}

// hello is the body of the first message in each direction.
type hello struct {
	Host string `msgpack:"h"`
	// Versions are the protocol versions that the sender speaks.
	Versions []uint32 `msgpack:"v"`
}

// encodeMessage returns m as a whole frame.
func encodeMessage(m *message, maxBody int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, headerSize))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	if err := enc.Encode(m); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	frame := buf.Bytes()
	if len(frame)-headerSize > maxBody {
		return nil, errors.Wrapf(ErrFrame, "%d bytes, limit %d", len(frame)-headerSize, maxBody)
	}
	putHeader(frame)
	return frame, nil
}

// decodeMessage reads a frame's body.
func decodeMessage(body []byte) (*message, error) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(ErrFrame, "decode message: %v", err)
	}
	return &m, nil
}
