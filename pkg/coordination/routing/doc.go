// Package routing chooses the endpoint for one request.
//
// State collects what is known of the endpoints and turns it into candidates. A
// Profile chooses among the candidates: filters exclude those that must not be
// used, scorers rate the rest, and a picker takes one. Filters, scorers and
// pickers read no clock and keep no state, so that each can be tested and
// replaced on its own. The daemon calls the package for each request to a model
// or service.
package routing
