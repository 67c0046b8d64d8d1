package infra

import "github.com/cockroachdb/errors"

var (
	// ErrNotFound is returned when the requested item does not exist.
	ErrNotFound = errors.New("infra: not found")
	// ErrUnavailable is returned when the platform's service does not answer or
	// refuses a request.
	ErrUnavailable = errors.New("infra: unavailable")
)
