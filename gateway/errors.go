package gateway

import "github.com/cockroachdb/errors"

var (
	// errTooLarge ends an answer that exceeds calls.max_body.
	errTooLarge = errors.New("gateway: answer too large")
	// errCutOff ends the read of an answer that failed before.
	errCutOff = errors.New("gateway: answer cut off")
)
