package event

import "log/slog"

// Events 400 to 499: gateway requests.
var (
	EndpointEjected    = define(400, slog.LevelWarn, "endpoint ejected as an outlier")
	GatewayDrained     = define(401, slog.LevelInfo, "in-flight requests finished")
	GatewayStopTimeout = define(402, slog.LevelWarn, "stop timed out with requests in flight")
	ShardDrained       = define(403, slog.LevelInfo, "endpoint shard drained")
	PeerDigestFailed   = define(404, slog.LevelWarn, "peer does not accept the digest of free slots")
	PeerDigestRestored = define(405, slog.LevelInfo, "peer accepts the digest of free slots again")
	ResponseAborted    = define(406, slog.LevelWarn, "response cut off, connection to the caller aborted")
	ServiceUnavailable = define(407, slog.LevelWarn, "no host can serve a service, its calls are refused")
	ServiceAvailable   = define(408, slog.LevelInfo, "calls to a service are accepted again")
)
