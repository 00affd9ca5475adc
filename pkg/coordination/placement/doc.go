// Package placement decides which adapter versions are loaded on and evicted
// from the engines of a region.
//
// A Planner runs on every VM. From engine reports, the demand of waiting
// requests and the orders in flight it answers where an adapter version is
// resident and where it should be loaded. On the VM that owns an endpoint it
// also plans the load and evict orders. A Gate limits them to endpoints that
// the VM may give orders to (see package ownership) and to the loads that the
// weight store permits.
//
// The package starts no goroutines or timers and writes no logs. The caller
// passes the time and carries out the returned orders.
package placement
