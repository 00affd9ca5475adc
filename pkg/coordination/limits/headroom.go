package limits

import "sort"

// maxHeadroomMarks bounds the memory for open charges of one bucket. Above it
// the two oldest marks are merged, which can only make refunds smaller.
const maxHeadroomMarks = 64

// headroomMark covers the time from one charge to the next. headroom is the
// smallest distance between cap and level in that time. open counts the charges
// that were not closed yet; it is above one after a merge.
type headroomMark struct {
	seq      uint64
	headroom int64
	open     int32
}

// headroomHistory records by how much a bucket's level could have been higher
// at every moment since an open charge without exceeding the cap. A refund also
// lowers the recorded headroom, because later refunds must count it: otherwise
// two charges refunded one after the other would both be measured against the
// same peak.
type headroomHistory struct {
	marks   []headroomMark
	lastSeq uint64
}

// record notes the current headroom. Levels only rise between charges, so it is
// enough to call it before each deduction and after each deposit.
func (h *headroomHistory) record(headroom int64) {
	if n := len(h.marks); n > 0 && headroom < h.marks[n-1].headroom {
		h.marks[n-1].headroom = headroom
	}
}

// open starts a mark at a charge and returns its sequence number. headroom is
// the headroom after the charge.
func (h *headroomHistory) open(headroom int64) uint64 {
	h.lastSeq++
	h.marks = append(h.marks, headroomMark{seq: h.lastSeq, headroom: headroom, open: 1})
	if len(h.marks) > maxHeadroomMarks {
		h.marks[1].seq = h.marks[0].seq
		h.marks[1].headroom = min(h.marks[0].headroom, h.marks[1].headroom)
		h.marks[1].open += h.marks[0].open
		h.marks = append(h.marks[:0], h.marks[1:]...)
	}
	return h.lastSeq
}

// findMark returns the index of the mark that covers a charge, or -1.
func (h *headroomHistory) findMark(seq uint64) int {
	return sort.Search(len(h.marks), func(i int) bool { return h.marks[i].seq > seq }) - 1
}

// closeCharge closes a charge and returns how much of the wanted refund may be
// credited, in whole tokens.
func (h *headroomHistory) closeCharge(seq uint64, want int64) int64 {
	at := h.findMark(seq)
	if at < 0 {
		return 0
	}
	credit := want
	for i := at; i < len(h.marks); i++ {
		credit = min(credit, h.marks[i].headroom)
	}
	credit = max(credit-credit%microPerToken, 0)
	for i := at; i < len(h.marks); i++ {
		h.marks[i].headroom -= credit
	}
	h.close(at)
	return credit
}

// close closes one charge of a mark, and drops the mark when its last
// charge is closed.
func (h *headroomHistory) close(at int) {
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
