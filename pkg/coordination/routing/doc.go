// Package routing chooses the endpoint for one request.
//
// State gathers what is known and turns it into candidates. A Profile decides
// on candidates alone: filters leave out those that must not be used, scorers
// rate the rest, and a picker takes one. Decisions read no clock and keep no
// state, so that each can be tested and replaced by itself.
package routing
