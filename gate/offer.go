package gate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/configstore"
)

// maxContent bounds the content of an offer, in bytes.
const maxContent = 8 << 20

// offerMessage carries a configstore.Offer between entry hosts. Its content is
// compressed: a policy is the largest of the messages that keep hosts alike.
type offerMessage struct {
	Head    configstore.Head `msgpack:"h"`
	Content []byte           `msgpack:"c"`
}

// packOffer returns the message that carries an offer.
func packOffer(o configstore.Offer) (offerMessage, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		return offerMessage{}, errors.Wrap(err, "pack offer")
	}
	if _, err := io.WriteString(w, o.Content); err != nil {
		return offerMessage{}, errors.Wrap(err, "pack offer")
	}
	if err := w.Close(); err != nil {
		return offerMessage{}, errors.Wrap(err, "pack offer")
	}
	return offerMessage{Head: o.Head, Content: packed.Bytes()}, nil
}

// offer returns the offer that the message carries.
func (m offerMessage) offer() (configstore.Offer, error) {
	r := flate.NewReader(bytes.NewReader(m.Content))
	content, err := io.ReadAll(io.LimitReader(r, maxContent+1))
	if err != nil {
		return configstore.Offer{}, errors.Wrap(err, "unpack offer")
	}
	if len(content) > maxContent {
		return configstore.Offer{}, errors.Newf("offer is larger than %d bytes", maxContent)
	}
	return configstore.Offer{Head: m.Head, Content: string(content)}, nil
}
