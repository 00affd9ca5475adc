// Package placement measures the decision packages for endpoints in an
// event-driven model of the two deployments, against a baseline of random
// placement with LRU eviction and one queue in order of arrival.
//
// The entry VMs of the model run the same ownership, placement, routing and
// fairqueue code as the daemon. Time, network, engines, weight store and
// callers are modelled; all randomness comes from the seed.
package placement
