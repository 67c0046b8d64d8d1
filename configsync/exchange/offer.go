package exchange

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/configstore"
)

// maxOfferContent bounds the uncompressed content of an offer, in bytes.
const maxOfferContent = 8 << 20

// offerMessage is the encoding of a configstore.Offer between entry hosts.
// Content is compressed with DEFLATE.
type offerMessage struct {
	Head    configstore.Head `msgpack:"h"`
	Content []byte           `msgpack:"c"`
}

// packOffer encodes an offer.
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

// unpack decodes the offer. It fails if the content exceeds maxOfferContent.
func (m offerMessage) unpack() (configstore.Offer, error) {
	r := flate.NewReader(bytes.NewReader(m.Content))
	content, err := io.ReadAll(io.LimitReader(r, maxOfferContent+1))
	if err != nil {
		return configstore.Offer{}, errors.Wrap(err, "unpack offer")
	}
	if len(content) > maxOfferContent {
		return configstore.Offer{}, errors.Newf("unpack offer: content exceeds %d bytes", maxOfferContent)
	}
	return configstore.Offer{Head: m.Head, Content: string(content)}, nil
}
