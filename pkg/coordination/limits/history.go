package limits

import "sort"

// maxMarks bounds the memory for open charges of one bucket. Above it the two
// oldest marks are merged, which can only make refunds smaller.
const maxMarks = 64

// mark covers the time from one charge to the next. Headroom is the smallest
// distance between cap and level in that time.
type mark struct {
	seq      uint64
	headroom int64
	open     int32
}

// history answers how much a level could have been higher at every moment since
// a charge without passing the cap. A refund raises the past levels too,
// because later refunds must count it: two charges refunded one after the other
// would otherwise both be measured against the same peak.
type history struct {
	marks []mark
	next  uint64
}

// note records the headroom of this moment. Levels only rise between charges,
// so a note before each deduction and after each deposit suffices.
func (h *history) note(headroom int64) {
	if n := len(h.marks); n > 0 && headroom < h.marks[n-1].headroom {
		h.marks[n-1].headroom = headroom
	}
}

// open starts a mark at a charge and returns its sequence number. The headroom
// is that after the charge.
func (h *history) open(headroom int64) uint64 {
	h.next++
	h.marks = append(h.marks, mark{seq: h.next, headroom: headroom, open: 1})
	if len(h.marks) > maxMarks {
		h.marks[1].seq = h.marks[0].seq
		h.marks[1].headroom = min(h.marks[0].headroom, h.marks[1].headroom)
		h.marks[1].open += h.marks[0].open
		h.marks = append(h.marks[:0], h.marks[1:]...)
	}
	return h.next
}

// find returns the index of the mark that covers a charge, or -1.
func (h *history) find(seq uint64) int {
	return sort.Search(len(h.marks), func(i int) bool { return h.marks[i].seq > seq }) - 1
}

// settle closes a charge and returns how much of want may be credited, in whole
// tokens.
func (h *history) settle(seq uint64, want int64) int64 {
	at := h.find(seq)
	if at < 0 {
		return 0
	}
	credit := want
	for i := at; i < len(h.marks); i++ {
		credit = min(credit, h.marks[i].headroom)
	}
	credit = max(credit-credit%micro, 0)
	for i := at; i < len(h.marks); i++ {
		h.marks[i].headroom -= credit
	}
	h.close(at)
	return credit
}

// close ends one charge of a mark and drops the mark after its last.
func (h *history) close(at int) {
	h.marks[at].open--
	if h.marks[at].open > 0 {
		return
	}
	if at > 0 {
		h.marks[at-1].headroom = min(h.marks[at-1].headroom, h.marks[at].headroom)
	}
	h.marks = append(h.marks[:at], h.marks[at+1:]...)
	if len(h.marks) == 0 {
		h.marks = nil
	}
}
