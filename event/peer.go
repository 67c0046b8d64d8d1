package event

import "log/slog"

// Events 300 to 349: messages between entry hosts.
var (
	PeerConnected    = define(300, slog.LevelInfo, "connected to peer")
	PeerLost         = define(301, slog.LevelWarn, "connection to peer lost")
	PeerDialFailed   = define(302, slog.LevelWarn, "cannot connect to peer")
	PeerRefused      = define(303, slog.LevelWarn, "connection from an unknown or incompatible peer refused")
	PeerAccepted     = define(304, slog.LevelInfo, "peer connected")
	PeerDisconnected = define(305, slog.LevelInfo, "peer disconnected")
)
