package logsink

import (
	"context"
	"log/slog"
)

// handler is a slog.Handler that writes to a sink.
type handler struct {
	sink *Sink
	json slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.json.Enabled(ctx, l) }

// Handle implements slog.Handler. It doesn't wait for the output.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	return h.sink.handle(ctx, h.json, &r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{sink: h.sink, json: h.json.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{sink: h.sink, json: h.json.WithGroup(name)}
}
