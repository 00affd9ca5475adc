// Package limits enforces each customer's token rate and burst over the whole
// fleet: in every window of length T, all VMs together grant at most burst +
// rate*T tokens. It does the same for the loads of the weight store, and Slots
// bounds how many of these loads run at once.
//
// Every VM owns a fixed share of each customer's rate and burst. A VM that has
// too few tokens for a waiting request borrows from peers; the lender deducts
// the tokens before it replies. Tokens can be moved or lost, but never created.
//
// The package is deterministic: time and messages are arguments, and decisions
// and the messages to send are return values. It has no goroutines, timers or
// sockets. State is sharded by customer, with one lock per shard. All methods
// of Table and Slots are safe for concurrent use.
//
// The caller, which the comments call the driver, calls Admit for each request.
// A granted request runs at once. For a waiting one, the driver sends the
// returned borrow requests, passes the replies to HandleBorrowReply, and calls
// Wake at the returned time; both return the tickets that were granted or
// refused in the meantime. When a request ends, the driver calls Refund.
package limits
