// Package readturns decides which connections may have what they received parsed. A
// runtime gives each goroutine that has work the same share of the processor, so that
// hundreds of bodies that arrive at the same time delay all other work of the process by
// hundreds of time slices. A Queue lets a few of them go on at a time: senders take turns,
// and so do the connections of one sender. The package is deterministic, and the caller
// synchronizes access.
package readturns

// ID names a connection.
type ID uint64

// Queue grants turns.
type Queue struct {
	limit int
	// holding are the connections that have a turn, and senderOf the sender of those that
	// wait for one.
	holding  map[ID]bool
	senderOf map[ID]string
	// waiting holds the waiting connections of each sender in the order of their requests,
	// and senders the senders with waiting connections in the order of their turns.
	waiting map[string][]ID
	senders []string
}

// New returns a queue that grants limit turns at a time.
func New(limit int) *Queue {
	return &Queue{limit: max(limit, 1), holding: make(map[ID]bool), senderOf: make(map[ID]string), waiting: make(map[string][]ID)}
}

// Request asks for a turn of a connection that has none, and reports whether it is granted
// at once. Otherwise End of another connection returns the connection later. A connection
// that goes on with what its last turn was for comes before the others of its sender.
func (q *Queue) Request(id ID, sender string, goesOn bool) bool {
	if q.holding[id] {
		return true
	}
	if len(q.holding) < q.limit {
		q.holding[id] = true
		return true
	}
	if _, waits := q.senderOf[id]; waits {
		return false
	}
	if len(q.waiting[sender]) == 0 {
		q.senders = append(q.senders, sender)
	}
	q.senderOf[id] = sender
	if goesOn {
		q.waiting[sender] = append([]ID{id}, q.waiting[sender]...)
	} else {
		q.waiting[sender] = append(q.waiting[sender], id)
	}
	return false
}

// End ends a connection's turn, or its wait for one. It returns the connection whose turn
// begins, if there is one.
func (q *Queue) End(id ID) (next ID, granted bool) {
	if sender, waits := q.senderOf[id]; waits {
		q.withdraw(id, sender)
		return 0, false
	}
	if !q.holding[id] {
		return 0, false
	}
	delete(q.holding, id)
	if len(q.senders) == 0 {
		return 0, false
	}
	sender := q.senders[0]
	next, rest := q.waiting[sender][0], q.waiting[sender][1:]
	q.senders = q.senders[1:]
	delete(q.senderOf, next)
	if len(rest) == 0 {
		delete(q.waiting, sender)
	} else {
		q.waiting[sender] = rest
		q.senders = append(q.senders, sender)
	}
	q.holding[next] = true
	return next, true
}

// Waiting reports whether a connection waits for a turn.
func (q *Queue) Waiting(id ID) bool {
	_, waits := q.senderOf[id]
	return waits
}

func (q *Queue) withdraw(id ID, sender string) {
	delete(q.senderOf, id)
	q.waiting[sender] = without(q.waiting[sender], id)
	if len(q.waiting[sender]) == 0 {
		delete(q.waiting, sender)
		q.senders = without(q.senders, sender)
	}
}

func without[T comparable](list []T, value T) []T {
	kept := make([]T, 0, len(list))
	for _, entry := range list {
		if entry != value {
			kept = append(kept, entry)
		}
	}
	return kept
}
