package settings

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written in TOML as text, such as "250ms".
type Duration time.Duration

// UnmarshalText parses text in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "expected a duration such as \"250ms\"")
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration for UnmarshalText.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
