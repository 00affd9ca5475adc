package endpointload

import "time"

// Reply is what an owner replied to the question whether a request may start.
type Reply struct {
	Granted, Queued bool
	// Wait is the time until the request can start, FirstEvent the time from then to
	// its first event, and Link how much longer the owner's data centre is away.
	Wait, FirstEvent, Link time.Duration
}

func (r Reply) expected() time.Duration {
	if r.Granted {
		return r.FirstEvent + r.Link
	}
	return r.Wait + r.FirstEvent + r.Link
}

// Best returns the index of the reply to follow: the grant with the shortest
// expected time to the first event, or else such a queue. It returns -1 if there
// is neither.
func Best(replies []Reply) int {
	best := -1
	for i, r := range replies {
		switch {
		case !r.Granted && !r.Queued:
		case best < 0, r.Granted && !replies[best].Granted,
			r.Granted == replies[best].Granted && r.expected() < replies[best].expected():
			best = i
		}
	}
	return best
}
