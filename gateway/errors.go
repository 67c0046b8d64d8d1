package gateway

import "github.com/cockroachdb/errors"

var (
	// errTooLarge is returned by reads of a response body that exceeds
	// calls.max_body.
	errTooLarge = errors.New("gateway: answer too large")
	// errCutOff is returned by reads of a response body after it failed.
	errCutOff = errors.New("gateway: answer cut off")
)
