package peer

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	kindHello messageKind = iota + 1
	kindRequest
	kindReply
	// kindCloseNotice: the server is shutting down. The client sends no new
	// requests and closes the connection after its last reply.
	kindCloseNotice
)

// replyStatus is how the peer handled a request.
type replyStatus uint8

const (
	// statusAnswered: the handler returned Body.
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
	// ID correlates a reply with its request. It is unique within a
	// connection.
	ID     uint64
	Method Method
	Status replyStatus
	Error  string
	// RemainingMS is the time until the request's deadline when it was sent,
	// in milliseconds; 0 without a deadline.
	RemainingMS int64
	Body        msgpack.RawMessage
}

// hello is the body of the first message in each direction.
type hello struct {
	Host string `msgpack:"h"`
	// Versions are the protocol versions that the sender supports.
	Versions []uint32 `msgpack:"v"`
}

// encodeMessage returns m as a complete frame. It fails if the body exceeds
// maxBody bytes.
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
		return nil, errors.Wrapf(ErrFrame, "body of %d bytes exceeds the limit of %d", len(frame)-headerSize, maxBody)
	}
	putHeader(frame)
	return frame, nil
}

// decodeMessage decodes a frame's body.
func decodeMessage(body []byte) (*message, error) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(ErrFrame, "decode message: %v", err)
	}
	return &m, nil
}
