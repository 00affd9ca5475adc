// Package fairqueue holds the requests that wait for an engine.
//
// Requests wait in one queue per adapter version below each customer. Between
// customers the queue is fair by tokens served, in virtual time: the customer
// that was served least for its weight comes first, so that a customer at
// several times its rate delays only itself. A request whose deadline cannot
// be met is refused before it waits.
//
// The package has no goroutines, timers or logs. The caller passes the time.
package fairqueue
