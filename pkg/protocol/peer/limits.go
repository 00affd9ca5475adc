package peer

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// Methods with which VMs lend each other tokens of customer limits and parts of
// the weight store's load slots.
const (
	// MethodLimitsBorrow asks a peer for tokens of one customer.
	MethodLimitsBorrow = "limits.borrow"
	// MethodLimitsReturn gives back tokens that a borrower could not use. It
	// has no reply and may be lost.
	MethodLimitsReturn = "limits.return"
	// MethodStoreBorrow asks a peer for a lease on part of the loads that may
	// be in flight from the weight store.
	MethodStoreBorrow = "store.borrow"
	// MethodStoreReturn ends such a lease early. It may be lost.
	MethodStoreReturn = "store.return"
)

// LimitsBorrowRequest asks for tokens of one customer. The names on the wire
// are short because these messages are most of the peer traffic under load.
type LimitsBorrowRequest struct {
	// LoanID identifies the loan at the borrower. The reply and a return repeat
	// it.
	LoanID   uint64         `json:"a"`
	From     ids.VMID       `json:"f"`
	Customer ids.CustomerID `json:"c"`
	// Need is the number of tokens that a waiting request lacks.
	Need int64 `json:"n,omitempty"`
	// Extra is the number of tokens beyond Need that the borrower takes if the
	// lender can spare them.
	Extra int64 `json:"s,omitempty"`
	// WaitedMillis is how long the borrower's oldest request has waited. A
	// lender with waiting requests of its own lends only if the borrower's has
	// waited longer.
	WaitedMillis int64 `json:"w,omitempty"`
}

// LimitsBorrowReply carries tokens that the lender has already deducted from
// its share.
type LimitsBorrowReply struct {
	LoanID   uint64         `json:"a"`
	From     ids.VMID       `json:"f"`
	Customer ids.CustomerID `json:"c"`
	Granted  int64          `json:"g,omitempty"`
	// Left is how many tokens the lender could still lend after this reply.
	Left int64 `json:"l,omitempty"`
	// RetryMillis is the time after which the lender expects to have tokens
	// again. The borrower does not ask it before.
	RetryMillis int64 `json:"r,omitempty"`
}

// LimitsReturn gives back part of a loan, which From and LoanID identify.
type LimitsReturn struct {
	LoanID   uint64         `json:"a"`
	From     ids.VMID       `json:"f"`
	Customer ids.CustomerID `json:"c"`
	Amount   int64          `json:"n"`
}

// StoreBorrowRequest asks for a lease on load slots of the weight store.
type StoreBorrowRequest struct {
	// LeaseID identifies the lease at the borrower. The reply and a return
	// repeat it.
	LeaseID uint64   `json:"a"`
	From    ids.VMID `json:"f"`
	// Units is how much the borrower lacks, in millionths of a slot.
	Units int64 `json:"u"`
	// TermMillis is the length of the lease. The borrower counts it from when
	// it sent the request.
	TermMillis int64 `json:"t"`
}

// StoreBorrowReply carries slot units that the lender does not use itself until
// the term plus a margin for clock drift have passed on its own clock.
type StoreBorrowReply struct {
	LeaseID     uint64   `json:"a"`
	From        ids.VMID `json:"f"`
	Units       int64    `json:"u,omitempty"`
	RetryMillis int64    `json:"r,omitempty"`
}

// StoreReturn ends a lease on slot units early.
type StoreReturn struct {
	LeaseID uint64   `json:"a"`
	From    ids.VMID `json:"f"`
}
