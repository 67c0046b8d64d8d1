// Package deps keeps the pinned libraries in go.mod until code uses them.
package deps

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
