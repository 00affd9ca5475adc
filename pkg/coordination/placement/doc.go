// Package placement decides which adapter versions the engines hold.
//
// A Planner keeps what is known of the engines of one region: residency from
// engine reports, the demand that waits, and the orders in flight. Every VM
// has one: it tells a VM where an adapter is resident and where it will be
// loaded. Orders are planned only for endpoints that the Gate allows, which is
// backed by the ownership package and by the rights to load from the weight
// store.
//
// The package has no goroutines, timers or logs. The caller passes the time
// and carries out the returned orders.
package placement
