package jsonc

import (
	"time"

	"github.com/joomcode/errorx"
)

// Duration is a time span written as a string such as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errorx.IllegalFormat.New("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
