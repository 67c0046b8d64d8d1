package gateway

import (
	"log/slog"

	"github.com/fireflygate/fireflygate/routing"
)

func endpointAttr(s *routing.Slot) slog.Attr {
	return slog.String("endpoint", s.Endpoint().Name)
}
