// Package limits decides how many tokens of each customer a VM may grant, so
// that the whole fleet grants at most burst + rate*T in every window T.
//
// Every VM owns a static share of each customer's rate and burst. A VM that is
// short of tokens for a waiting request borrows from peers; the lender deducts
// the tokens before it answers. Tokens are conserved or lost, never made.
//
// The package is deterministic: time and messages are arguments, messages to
// send and verdicts are return values. It has no goroutine, timer or socket.
// State is sharded by customer, each shard under its own lock; all methods of
// Table and Slots may be called concurrently.
//
// A driver calls Admit for a request. A granted request runs at once. For a
// waiting one the driver sends the returned asks, passes replies to Receive,
// and calls Wake at the returned time; both return the tickets that were
// granted or refused since. At the end of the request it calls Refund.
package limits
