package node

import (
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// protect calls f and returns an error if f panics. It guards the goroutines
// that decode what the store and the endpoints send: input that a decoder does
// not expect ends one call instead of the process. f must not hold locks that it
// does not release by defer.
func protect(step string, f func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = eris.Errorf("%s panicked: %v\n%s", step, reason, debug.Stack())
		}
	}()
	return f()
}
