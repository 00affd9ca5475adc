// Package idempotency makes a call with an idempotency key run at most once.
//
// Each key has three home VMs. An entry VM claims the key at its homes before
// it commits the call, and runs it only if enough homes grant the claim. A
// home grants a key once and answers later claims with the state of the first.
// Homes keep claims in memory only; a home whose memory does not reach back to
// the creation of a key does not count.
//
// The package keeps no goroutines and sends nothing: Home answers messages,
// Attempt returns the messages to send.
package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
)

const (
	// MaxClockSkew bounds how far the wall clocks of two VMs differ.
	MaxClockSkew = 2 * time.Second
	// CommitTerm is how long after its first message a claim may be committed.
	// It ends long before homes forget the claim, so that a VM that was paused
	// between claim and commit does not run a call that another one has run.
	CommitTerm = 10 * time.Second
	// newHomeMargin is how long a claim under an older list may still succeed
	// after this VM saw a newer one: a list counts as confirmed for
	// ConfirmationTTL after a read, and the read may lag by MaxListLag.
	newHomeMargin = membership.ConfirmationTTL + membership.MaxListLag
	// uuidVersionTime is the version of RFC 9562 UUIDs that start with the
	// time of their creation.
	uuidVersionTime = 7
)

// CreatedAt returns the creation time that a UUIDv7 key carries. Other keys
// carry none.
func CreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionTime || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	millis := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(millis), true
}

// keyAge tells whether a key is within its window.
type keyAge uint8

const (
	keyCurrent keyAge = iota
	// keyExpired: created before the window, so homes may have forgotten it.
	keyExpired
	// keyFromFuture: no VM accepts the key before its creation time. This
	// makes the creation time a bound on its first use, however wrong the
	// clock of the caller is.
	keyFromFuture
)

func ageOf(now time.Time, key string, window time.Duration) keyAge {
	created, dated := CreatedAt(key)
	switch {
	case !dated:
		return keyCurrent
	case now.Sub(created) > window:
		return keyExpired
	case created.Sub(now) > MaxClockSkew:
		return keyFromFuture
	}
	return keyCurrent
}

// firstUse returns a moment before which a key that is within its window was
// not claimed, or only so long before that the claim does not count any more.
func firstUse(now time.Time, key string, window time.Duration) time.Time {
	if created, dated := CreatedAt(key); dated {
		return created.Add(-MaxClockSkew)
	}
	return now.Add(-window - CommitTerm)
}

// retention is how long a home keeps a claim. A UUIDv7 key is granted at most
// MaxClockSkew before its creation time by the clock of another VM, and is
// refused as expired a window after it; CommitTerm covers a claimer that
// commits late.
func retention(window time.Duration) time.Duration {
	return window + CommitTerm + 2*MaxClockSkew
}
