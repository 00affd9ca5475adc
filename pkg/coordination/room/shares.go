package room

import (
	"math"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Shares counts the recent grants of each customer, over all engines of one owner. A
// count halves within sharesHalfLife. It is not safe for concurrent use.
type Shares struct {
	grants map[ids.CustomerID]decayingCount
}

type decayingCount struct {
	value float64
	at    time.Time
}

const (
	sharesHalfLife = 5 * time.Second
	// maxSharesKept bounds the customers that are counted, and minShareKept is the count
	// below which one is forgotten when there are more.
	maxSharesKept = 4096
	minShareKept  = 1.0 / 32
)

// NewShares returns counts without grants.
func NewShares() *Shares { return &Shares{grants: make(map[ids.CustomerID]decayingCount)} }

func (s *Shares) granted(now time.Time, customer ids.CustomerID) {
	if customer == "" {
		return
	}
	if _, known := s.grants[customer]; !known && len(s.grants) >= maxSharesKept {
		for other := range s.grants {
			if s.recent(now, other) < minShareKept {
				delete(s.grants, other)
			}
		}
		if len(s.grants) >= maxSharesKept {
			return
		}
	}
	s.grants[customer] = decayingCount{value: s.recent(now, customer) + 1, at: now}
}

// recent returns the decayed number of grants of a customer.
func (s *Shares) recent(now time.Time, customer ids.CustomerID) float64 {
	count, counted := s.grants[customer]
	if !counted {
		return 0
	}
	return count.value * math.Exp2(-now.Sub(count.at).Seconds()/sharesHalfLife.Seconds())
}
