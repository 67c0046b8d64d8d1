package event

import "log/slog"

// Events 400 to 499: interactive requests.
var (
	EndpointEjected    = define(400, slog.LevelWarn, "endpoint ejected as outlier")
	GatewayDrained     = define(401, slog.LevelInfo, "requests in flight ended")
	GatewayStopTimeout = define(402, slog.LevelWarn, "requests were in flight when the stop's time was over")
	ShardDrained       = define(403, slog.LevelInfo, "endpoint shard drained")
	PeerDigestFailed   = define(404, slog.LevelWarn, "peer does not take the digest of free slots")
	PeerDigestRestored = define(405, slog.LevelInfo, "peer takes the digest of free slots again")
	ResponseAborted    = define(406, slog.LevelWarn, "answer was cut off, connection to the caller aborted")
	ServiceUnavailable = define(407, slog.LevelWarn, "no host can serve a service, its calls are refused")
	ServiceAvailable   = define(408, slog.LevelInfo, "calls of a service are taken again")
)
