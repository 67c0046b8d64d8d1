package exchange

import (
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/configstore"
)

// TestOfferBounded checks that an offer larger than maxOfferContent is rejected.
func TestOfferBounded(t *testing.T) {
	for _, size := range []int{0, maxOfferContent, maxOfferContent + 1} {
		m, err := packOffer(configstore.Offer{Content: strings.Repeat("x", size)})
		if err != nil {
			t.Fatal(err)
		}
		o, err := m.unpack()
		if whole := err == nil && len(o.Content) == size; whole != (size <= maxOfferContent) {
			t.Errorf("unpack an offer of %d bytes: error %v, want one only above maxOfferContent", size, err)
		}
	}
}
