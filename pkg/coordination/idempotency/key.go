// Package idempotency makes a call with an idempotency key run at most once.
// It decides from the claims that VMs make on a key, the VM list and the
// regions of the data centres. The daemon calls it for calls to services.
//
// Each key has three home VMs, which record the claims on it. The entry VM,
// which received the call, claims the key at its homes before it commits the
// call, and sends the call only if enough homes grant the claim. A home grants
// a key once and answers later claims with the state of the granted one. Homes
// keep claims in memory only; a home whose memory does not reach back to the
// creation of a key is not counted.
//
// The package starts no goroutines and sends nothing: Home answers messages,
// and Attempt returns the messages to send.
package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
)

const (
	// MaxClockSkew is the maximum difference between the wall clocks of two
	// VMs.
	MaxClockSkew = 2 * time.Second
	// CommitTimeout is how long after its start an attempt may still be
	// committed. It ends long before homes forget the claim, so that a VM that
	// was paused between claim and commit does not run a call that another VM
	// has run.
	CommitTimeout = 10 * time.Second
	// listChangeMargin is how long a claim made under an older VM list may
	// still succeed after this VM saw a newer list: a list counts as confirmed
	// for AuthorityTerm after a platform read, and the read may lag by
	// ListLagBound.
	listChangeMargin = membership.ConfirmationTTL + membership.MaxListLag
	// uuidVersionTimeOrdered is the RFC 9562 version of UUIDs that start with
	// their creation time.
	uuidVersionTimeOrdered = 7
)

// CreatedAt returns the creation time in a UUIDv7 key. It reports false for
// other keys, which carry no time.
func CreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionTimeOrdered || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	millis := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(millis), true
}

// keyAge says whether a key is within its repeat window.
type keyAge uint8

const (
	keyCurrent keyAge = iota
	// keyExpired: the key was created before the window, so homes may have
	// forgotten its claims.
	keyExpired
	// keyFromFuture: the creation time of the key has not come yet. No VM
	// accepts such a key. This makes the creation time a lower bound on the
	// first use of the key, however wrong the caller's clock is.
	keyFromFuture
)

// classifyKeyAge returns whether a key is within its window. A key without a
// creation time always is.
func classifyKeyAge(now time.Time, key string, window time.Duration) keyAge {
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

// earliestRelevantClaim returns a time before which no claim was made on a key
// that is within its window, or only a claim so old that it no longer matters.
func earliestRelevantClaim(now time.Time, key string, window time.Duration) time.Time {
	if created, dated := CreatedAt(key); dated {
		return created.Add(-MaxClockSkew)
	}
	return now.Add(-window - CommitTimeout)
}

// claimRetention returns how long a home keeps a claim. A UUIDv7 key is
// granted at most MaxClockSkew before its creation time on another VM's clock,
// and it is refused as expired one window after its creation. CommitTimeout
// covers a claimer that commits late.
func claimRetention(window time.Duration) time.Duration {
	return window + CommitTimeout + 2*MaxClockSkew
}
