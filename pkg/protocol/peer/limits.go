package peer

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// JSON-RPC methods of customer limits and of the weight store's slots.
const (
	// MethodLimitsBorrow asks a peer for tokens of one customer.
	MethodLimitsBorrow = "limits.borrow"
	// MethodLimitsReturn gives back tokens that a borrower could not use. It
	// has no reply and may be lost.
	MethodLimitsReturn = "limits.return"
	// MethodStoreBorrow asks a peer for a lease on parts of the weight store's
	// in-flight loads.
	MethodStoreBorrow = "store.borrow"
	// MethodStoreReturn ends such a lease early. It may be lost.
	MethodStoreReturn = "store.return"
)

// LimitsBorrowRequest asks for tokens of one customer. Field names are short
// because these messages are most of the peer traffic under load.
type LimitsBorrowRequest struct {
	// Ask identifies the question at the asking VM and is echoed in the reply.
	Ask      uint64         `json:"a"`
	From     ids.VMID       `json:"f"`
	Customer ids.CustomerID `json:"c"`
	// Need is what a waiting request lacks, in tokens.
	Need int64 `json:"n,omitempty"`
	// Spare is what the asker takes beyond Need if the lender can spare it.
	Spare int64 `json:"s,omitempty"`
	// WaitedMillis is how long the asker's oldest request has waited. A lender
	// whose own requests wait lends to longer waits only.
	WaitedMillis int64 `json:"w,omitempty"`
}

// LimitsBorrowReply carries tokens that the lender has already deducted.
type LimitsBorrowReply struct {
	Ask      uint64         `json:"a"`
	From     ids.VMID       `json:"f"`
	Customer ids.CustomerID `json:"c"`
	Granted  int64          `json:"g,omitempty"`
	// Left is what the lender could still lend after this reply, in tokens.
	Left int64 `json:"l,omitempty"`
	// RetryMillis is the time after which the lender expects to have tokens
	// again; it is not asked before.
	RetryMillis int64 `json:"r,omitempty"`
}

// LimitsReturn gives back part of a loan. The loan is named by borrower and
// ask.
type LimitsReturn struct {
	Ask      uint64         `json:"a"`
	From     ids.VMID       `json:"f"`
	Customer ids.CustomerID `json:"c"`
	Amount   int64          `json:"n"`
}

// StoreBorrowRequest asks for a lease on slot units.
type StoreBorrowRequest struct {
	Ask  uint64   `json:"a"`
	From ids.VMID `json:"f"`
	// Units is what the asker lacks, in millionths of a slot.
	Units int64 `json:"u"`
	// TermMillis is the length of the lease; the asker counts it from the
	// moment of its ask.
	TermMillis int64 `json:"t"`
}

// StoreBorrowReply carries slot units that the lender has set aside until the
// term and the drift margin have passed on its own clock.
type StoreBorrowReply struct {
	Ask         uint64   `json:"a"`
	From        ids.VMID `json:"f"`
	Units       int64    `json:"u,omitempty"`
	RetryMillis int64    `json:"r,omitempty"`
}

// StoreReturn ends a lease on slot units early.
type StoreReturn struct {
	Ask  uint64   `json:"a"`
	From ids.VMID `json:"f"`
}
