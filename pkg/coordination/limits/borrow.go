package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

const (
	// maxSelfEarnWait bounds the time for which a VM waits for its own rate to
	// cover a shortage instead of borrowing. A wait this short costs less than
	// the messages.
	maxSelfEarnWait = 20 * time.Millisecond
	// noReplyRetry is how long a peer that did not reply is left alone: it is
	// probably unreachable or gone.
	noReplyRetry = time.Second
	// releaseMargin is how long before their expiry unused borrowed tokens are
	// released, so that a late wake-up does not lose them.
	releaseMargin = 10 * time.Millisecond
	// Tokens are prefetched when the level is below the part
	// prefetchNum/prefetchDen of the cap, up to that part. prefetchInterval is
	// the least time between two prefetches.
	prefetchNum, prefetchDen = 3, 4
	prefetchInterval         = 50 * time.Millisecond
	// prefetchActiveTime bounds the time since the previous admission within
	// which a customer counts as active on this VM, so that its tokens are
	// prefetched. A less active customer is served by the VM's own rate.
	prefetchActiveTime = 2 * time.Second
	// minWakeDelay is the least time until the next wake-up.
	minWakeDelay = time.Millisecond
	// maxRemoteScan bounds how many peers of other data centres one decision
	// looks at.
	maxRemoteScan = 64
)

// peerEstimate is what a peer's last reply said about a customer. If the peer
// did not reply in time, remaining is 0 and heardAt is the time at which that
// was noticed.
type peerEstimate struct {
	heardAt   int64
	remaining int64
	retryAt   int64
}

// recordReply stores what a reply says about the state of its sender.
func (t *Table) recordReply(b *bucket, now int64, reply peer.LimitsBorrowReply) {
	retry := time.Duration(min(reply.RetryMillis, int64(maxRetry/time.Millisecond))) * time.Millisecond
	b.setEstimate(reply.From, peerEstimate{heardAt: now, remaining: min(reply.Left, maxCostTokens) * microPerToken, retryAt: now + int64(retry)})
}

func (b *bucket) setEstimate(vm ids.VMID, h peerEstimate) {
	if b.peerEstimates == nil {
		b.peerEstimates = map[ids.VMID]peerEstimate{}
	}
	b.peerEstimates[vm] = h
}

// process grants and refuses waiting requests, releases borrowed tokens that
// are no longer needed, borrows what is missing, and sets the next wake time.
func (t *Table) process(sh *tableShard, b *bucket, now int64, out *Outcome) {
	s := t.update(b, now)
	t.releaseExpiring(sh, b, s, now, now, out)
	t.expirePending(b, now)
	t.grantInOrder(sh, b, s, now, out)
	t.releaseExpiring(sh, b, s, now, now+int64(releaseMargin)+1, out)
	if len(b.waiting) == 0 {
		t.release(sh, b, s, now, len(b.borrowed), out)
		b.waiting = nil
		return
	}
	wake := t.nextWake(b, s, now)
	missing := t.shortage(b)
	exceedsCap := b.waiting[0].cost > s.cap
	switch {
	case missing <= 0 || !exceedsCap && timeToEarn(s.rate, missing) <= maxSelfEarnWait:
	case exceedsCap && t.borrowDelay(b, now) > 0:
		wake = min(wake, now+int64(t.borrowDelay(b, now)))
	default:
		t.borrow(sh, b, s, now, missing, out)
		wake = min(wake, now+t.maxUseAge()+1)
	}
	out.WakeAt = t.start.Add(time.Duration(wake))
}

// borrowDelay returns how long the peers probably need to earn what the first
// waiting request lacks. What exceeds the cap of this VM must arrive within one
// TransferMaxAge; tokens that are borrowed earlier would only be returned.
func (t *Table) borrowDelay(b *bucket, now int64) time.Duration {
	lack, rate := b.waiting[0].cost-b.level-b.borrowedTotal(), int64(0)
	for _, a := range b.pendingBorrows {
		lack -= a.need
	}
	peers := t.peers.Load().vms
	for _, vm := range peers[:min(len(peers), maxRemoteScan)] {
		s := t.peerShare(b, vm.DataCentre)
		held := s.cap
		if h, heard := b.peerEstimates[vm.ID]; heard {
			held = min(s.cap, h.remaining+accrual(s.rate, now-h.heardAt))
		}
		lack -= held
		rate += s.rate
	}
	return timeToEarn(rate, lack)
}

// grantInOrder grants waiting requests in order, and refuses those past their
// deadline. The order is strict, so that small requests cannot starve a large
// one.
func (t *Table) grantInOrder(sh *tableShard, b *bucket, s share, now int64, out *Outcome) {
	kept := b.waiting[:0]
	blocked := false
	for _, w := range b.waiting {
		switch {
		case now >= w.deadline:
			sh.counters.Refused++
			out.Refused = append(out.Refused, Refusal{
				Ticket: w.ticket, Reason: ReasonOverRate,
				RetryAfter: max(timeToEarn(shareMicro(b.policy.Rate, 1), w.cost), time.Millisecond),
			})
		case !blocked && w.cost <= b.level+b.borrowedTotal():
			out.Granted = append(out.Granted, Grant{Ticket: w.ticket, Charge: t.charge(sh, b, s, now, w.cost)})
		default:
			blocked = true
			kept = append(kept, w)
		}
	}
	b.waiting = kept
}

func (b *bucket) borrowedTotal() int64 {
	sum := int64(0)
	for _, r := range b.borrowed {
		sum += r.amount
	}
	return sum
}

// shortage returns what the waiting requests lack beyond the level, the
// borrowed tokens and the pending borrow requests.
func (t *Table) shortage(b *bucket) int64 {
	missing := -b.level - b.borrowedTotal()
	for _, w := range b.waiting {
		missing += w.cost
	}
	for _, a := range b.pendingBorrows {
		if !a.answered {
			missing -= a.need
		}
	}
	return missing
}

// releaseExpiring releases borrowed tokens that expire before the limit.
func (t *Table) releaseExpiring(sh *tableShard, b *bucket, s share, now, limit int64, out *Outcome) {
	slices.SortStableFunc(b.borrowed, func(x, y borrowedTokens) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	expired := 0
	for expired < len(b.borrowed) && b.borrowed[expired].expiresAt < limit {
		expired++
	}
	t.release(sh, b, s, now, expired, out)
}

// release moves the first n entries of borrowed tokens into the level, as far
// as there is room, and returns the rest to the lenders. Tokens past their
// expiry are not added to the level; they are returned in full.
func (t *Table) release(sh *tableShard, b *bucket, s share, now int64, n int, out *Outcome) {
	for _, r := range b.borrowed[:n] {
		kept := int64(0)
		if now <= r.expiresAt {
			kept = t.deposit(b, s, now, r.amount)
		}
		if unused := (r.amount - kept) / microPerToken; unused > 0 {
			sh.counters.TokensReturned += unused
			out.Returns = append(out.Returns, ReturnMessage{To: r.lender, Message: peer.LimitsReturn{
				LoanID: r.ask, From: t.self, Customer: b.customer, Amount: unused,
			}})
		}
	}
	b.borrowed = b.borrowed[n:]
	if len(b.borrowed) == 0 {
		b.borrowed = nil
	}
}

// expirePending forgets borrow requests whose reply could no longer be used.
func (t *Table) expirePending(b *bucket, now int64) {
	if !t.safetyRules.dropLateReplies {
		return
	}
	kept := b.pendingBorrows[:0]
	for _, a := range b.pendingBorrows {
		if now-a.sentAt <= t.maxUseAge() {
			kept = append(kept, a)
			continue
		}
		if !a.answered {
			b.setEstimate(a.lender, peerEstimate{heardAt: now, retryAt: now + int64(noReplyRetry)})
		}
	}
	b.pendingBorrows = kept
	if len(kept) == 0 {
		b.pendingBorrows = nil
	}
}

// candidate is a peer that may be asked for tokens, with the amount that it
// probably has.
type candidate struct {
	vm            ids.VMID
	expectedLevel int64
}

// borrow asks peers for the shortage, those of the same data centre first.
func (t *Table) borrow(sh *tableShard, b *bucket, s share, now, missing int64, out *Outcome) {
	peers := t.peers.Load()
	chosen := t.pickLenders(b, now, peers.vms[:peers.localCount], &missing, nil)
	if remote := peers.vms[peers.localCount:]; missing > 0 && len(remote) > 0 {
		firstIndex := b.remoteCursor % len(remote)
		scanned := append(slices.Clone(remote[firstIndex:min(len(remote), firstIndex+maxRemoteScan)]), remote[:min(firstIndex, max(0, firstIndex+maxRemoteScan-len(remote)))]...)
		chosen = t.pickLenders(b, now, scanned, &missing, chosen)
		b.remoteCursor = firstIndex + len(chosen)
	}
	if len(chosen) == 0 {
		return
	}
	// The part of the shortage that no peer is expected to cover is requested
	// anyway, in equal parts, because expectations are low for peers that
	// nothing was heard from.
	extra := max(missing, 0) / int64(len(chosen))
	spare := max((s.cap/2-b.level)/int64(len(chosen)), 0) / microPerToken
	for _, c := range chosen {
		need := (c.expectedLevel + extra + microPerToken - 1) / microPerToken
		t.sendBorrow(sh, b, now, c.vm, peer.LimitsBorrowRequest{
			Need: need, Extra: spare,
			WaitedMillis: (now - b.waiting[0].since) / int64(time.Millisecond),
		}, out)
	}
}

// prefetch asks the peer that probably has most for spare tokens if the own
// level is low. A full bucket loses what it earns, so its tokens are moved
// before a request has to wait for them.
func (t *Table) prefetch(sh *tableShard, b *bucket, s share, now int64, out *Outcome) {
	targetLevel := s.cap / prefetchDen * prefetchNum
	if b.level >= targetLevel || len(b.pendingBorrows) > 0 || now < b.nextPrefetchAt {
		return
	}
	b.nextPrefetchAt = now + int64(prefetchInterval)
	peers := t.peers.Load()
	best := t.fullestPeer(b, now, peers.vms[:peers.localCount])
	if best.expectedLevel <= s.cap/2 {
		remote := peers.vms[peers.localCount:]
		if len(remote) == 0 {
			return
		}
		b.remoteCursor++
		firstIndex := b.remoteCursor % len(remote)
		best = t.fullestPeer(b, now, remote[firstIndex:min(len(remote), firstIndex+maxRemoteScan)])
	}
	if spare := (targetLevel - b.level) / microPerToken; spare > 0 && best.expectedLevel > s.cap/2 {
		t.sendBorrow(sh, b, now, best.vm, peer.LimitsBorrowRequest{Extra: spare}, out)
	}
}

// fullestPeer returns the peer that probably has most tokens.
func (t *Table) fullestPeer(b *bucket, now int64, vms []VM) candidate {
	var best candidate
	for _, vm := range vms {
		if expectedLevel := t.expectedLevel(b, now, vm); expectedLevel > best.expectedLevel {
			best = candidate{vm: vm.ID, expectedLevel: expectedLevel}
		}
	}
	return best
}

// sendBorrow records a pending borrow request and adds its message to the
// outcome.
func (t *Table) sendBorrow(sh *tableShard, b *bucket, now int64, lender ids.VMID, req peer.LimitsBorrowRequest, out *Outcome) {
	req.LoanID, req.From, req.Customer = t.lastBorrowID.Add(1), t.self, b.customer
	b.pendingBorrows = append(b.pendingBorrows, pendingBorrow{id: req.LoanID, lender: lender, sentAt: now, need: req.Need * microPerToken})
	sh.counters.AsksSent++
	out.BorrowRequests = append(out.BorrowRequests, BorrowMessage{To: lender, Request: req})
}

// pickLenders adds peers to the chosen ones, those that probably have most
// first, until the shortage is covered or Fanout is reached.
func (t *Table) pickLenders(b *bucket, now int64, vms []VM, missing *int64, chosen []candidate) []candidate {
	var candidates []candidate
	for _, vm := range vms {
		if expectedLevel := t.expectedLevel(b, now, vm); expectedLevel >= microPerToken {
			candidates = append(candidates, candidate{vm: vm.ID, expectedLevel: expectedLevel})
		}
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.expectedLevel, x.expectedLevel) })
	for _, c := range candidates {
		if *missing <= 0 || len(chosen) >= t.cfg.Fanout {
			break
		}
		c.expectedLevel = min(c.expectedLevel, *missing)
		*missing -= c.expectedLevel
		chosen = append(chosen, c)
	}
	return chosen
}

// expectedLevel returns what a peer probably has, or 0 if it must not be asked
// now.
func (t *Table) expectedLevel(b *bucket, now int64, vm VM) int64 {
	for _, a := range b.pendingBorrows {
		if a.lender == vm.ID && !a.answered {
			return 0
		}
	}
	s := t.peerShare(b, vm.DataCentre)
	h, heard := b.peerEstimates[vm.ID]
	switch {
	case s.rate == 0:
		return 0
	case !heard:
		return s.cap/2 + microPerToken
	case h.retryAt > now:
		return 0
	}
	return max(min(s.cap, h.remaining+accrual(s.rate, now-h.heardAt)), microPerToken)
}

// nextWake returns the next time at which the state changes without a message
// or a call.
func (t *Table) nextWake(b *bucket, s share, now int64) int64 {
	wake := now + int64(timeToEarn(s.rate, b.waiting[0].cost-b.level-b.borrowedTotal()))
	for _, w := range b.waiting {
		wake = min(wake, w.deadline)
	}
	for _, r := range b.borrowed {
		wake = min(wake, r.expiresAt-int64(releaseMargin))
	}
	for _, a := range b.pendingBorrows {
		if t.safetyRules.dropLateReplies {
			wake = min(wake, a.sentAt+t.maxUseAge()+1)
		}
	}
	for _, h := range b.peerEstimates {
		if h.retryAt > now {
			wake = min(wake, h.retryAt)
		}
	}
	return max(wake, now+int64(minWakeDelay))
}
