// Package fairqueue holds the requests that wait for an engine with a free
// slot, and decides which one runs next.
//
// Each customer has one queue per adapter version. Between customers the queue
// is weighted-fair by served tokens, measured in virtual time: the customer
// that was served least for its weight is next, so that a customer at several
// times its rate delays only itself. A request that cannot meet its deadline is
// refused instead of queued.
//
// The daemon drives one queue per base model. The package has no goroutines,
// timers or logs; the caller passes the current time.
package fairqueue
