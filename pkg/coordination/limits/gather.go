package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

const (
	// ownWait is the time in which the own rate may cover a shortage before
	// peers are asked; a shorter wait than this costs less than the messages.
	ownWait = 20 * time.Millisecond
	// silentRetry is the wait after an ask without a reply: the peer is
	// probably cut off or gone.
	silentRetry = time.Second
	// releaseMargin is how long before their end unused reserves are released,
	// so that a late wake-up does not lose them.
	releaseMargin = 10 * time.Millisecond
	// aheadNum and aheadDen give the part of the cap below which tokens are
	// asked for ahead of need, and up to which. aheadPause is the least time
	// between two such asks.
	aheadNum, aheadDen = 3, 4
	aheadPause         = 50 * time.Millisecond
	// aheadWithin is the time since the admission before in which a customer
	// counts as busy on this VM; the own rate serves a rarer one.
	aheadWithin = 2 * time.Second
	// minWake keeps wake-ups apart.
	minWake = time.Millisecond
	// farScan bounds the peers of other data centres looked at per decision.
	farScan = 64
)

// hint is what a peer last said about a customer.
type hint struct {
	at      int64
	left    int64
	retryAt int64
}

// learn remembers what a reply says about its sender.
func (t *Table) learn(b *bucket, now int64, reply peer.LimitsBorrowReply) {
	retry := time.Duration(min(reply.RetryMillis, int64(maxRetry/time.Millisecond))) * time.Millisecond
	b.remember(reply.From, hint{at: now, left: min(reply.Left, maxCost) * micro, retryAt: now + int64(retry)})
}

func (b *bucket) remember(vm ids.VMID, h hint) {
	if b.hints == nil {
		b.hints = map[ids.VMID]hint{}
	}
	b.hints[vm] = h
}

// process grants and refuses waiting requests, releases what is no longer
// needed, asks peers for what is missing and sets the next wake time.
func (t *Table) process(sh *tableShard, b *bucket, now int64, out *Outcome) {
	s := t.touch(b, now)
	t.releaseBefore(sh, b, s, now, now, out)
	t.expireAsks(b, now)
	t.serve(sh, b, s, now, out)
	t.releaseBefore(sh, b, s, now, now+int64(releaseMargin)+1, out)
	if len(b.waiting) == 0 {
		t.release(sh, b, s, now, len(b.reserve), out)
		b.waiting = nil
		return
	}
	wake := t.wakeAt(b, s, now)
	short := t.shortage(b)
	large := b.waiting[0].cost > s.cap
	switch {
	case short <= 0 || !large && earnTime(s.rate, short) <= ownWait:
	case large && t.gatherTime(b, now) > 0:
		wake = min(wake, now+int64(t.gatherTime(b, now)))
	default:
		t.ask(sh, b, s, now, short, out)
		wake = min(wake, now+t.acceptAge()+1)
	}
	out.WakeAt = t.start.Add(time.Duration(wake))
}

// gatherTime returns how long the peers probably need to earn what the first
// waiting request lacks. What exceeds the own cap must arrive within one
// TransferMaxAge; tokens that are asked for earlier would only go back.
func (t *Table) gatherTime(b *bucket, now int64) time.Duration {
	lack, rate := b.waiting[0].cost-b.level-b.reserved(), int64(0)
	for _, a := range b.asks {
		lack -= a.need
	}
	peers := t.peers.Load().vms
	for _, vm := range peers[:min(len(peers), farScan)] {
		s := t.peerShare(b, vm.DataCentre)
		held := s.cap
		if h, heard := b.hints[vm.ID]; heard {
			held = min(s.cap, h.left+accrual(s.rate, now-h.at))
		}
		lack -= held
		rate += s.rate
	}
	return earnTime(rate, lack)
}

// serve grants waiting requests in order and refuses those past their
// deadline. Order is strict, so that small requests do not starve a large one.
func (t *Table) serve(sh *tableShard, b *bucket, s share, now int64, out *Outcome) {
	kept := b.waiting[:0]
	blocked := false
	for _, w := range b.waiting {
		switch {
		case now >= w.deadline:
			sh.counters.Refused++
			out.Refused = append(out.Refused, Refusal{
				Ticket: w.ticket, Reason: ReasonOverRate,
				RetryAfter: max(earnTime(shareMicro(b.policy.Rate, 1), w.cost), time.Millisecond),
			})
		case !blocked && w.cost <= b.level+b.reserved():
			out.Granted = append(out.Granted, Grant{Ticket: w.ticket, Charge: t.charge(sh, b, s, now, w.cost)})
		default:
			blocked = true
			kept = append(kept, w)
		}
	}
	b.waiting = kept
}

func (b *bucket) reserved() int64 {
	sum := int64(0)
	for _, r := range b.reserve {
		sum += r.amount
	}
	return sum
}

// shortage returns what the waiting requests lack, counting open asks.
func (t *Table) shortage(b *bucket) int64 {
	short := -b.level - b.reserved()
	for _, w := range b.waiting {
		short += w.cost
	}
	for _, a := range b.asks {
		if !a.answered {
			short -= a.need
		}
	}
	return short
}

// releaseBefore releases borrowed tokens whose time ends before a limit.
func (t *Table) releaseBefore(sh *tableShard, b *bucket, s share, now, limit int64, out *Outcome) {
	slices.SortStableFunc(b.reserve, func(x, y reserved) int { return cmp.Compare(x.expires, y.expires) })
	expired := 0
	for expired < len(b.reserve) && b.reserve[expired].expires < limit {
		expired++
	}
	t.release(sh, b, s, now, expired, out)
}

// release puts the first n reserves into the level as far as there is room and
// returns the rest to its lenders. Tokens that woke past their time are lost.
func (t *Table) release(sh *tableShard, b *bucket, s share, now int64, n int, out *Outcome) {
	for _, r := range b.reserve[:n] {
		kept := int64(0)
		if now <= r.expires {
			kept = t.deposit(b, s, now, r.amount)
		}
		if rest := (r.amount - kept) / micro; rest > 0 {
			sh.counters.TokensReturned += rest
			out.Returns = append(out.Returns, Return{To: r.lender, Message: peer.LimitsReturn{
				Ask: r.ask, From: t.self, Customer: b.customer, Amount: rest,
			}})
		}
	}
	b.reserve = b.reserve[n:]
	if len(b.reserve) == 0 {
		b.reserve = nil
	}
}

// expireAsks forgets asks whose reply could no longer be used.
func (t *Table) expireAsks(b *bucket, now int64) {
	if !t.rules.dropLate {
		return
	}
	kept := b.asks[:0]
	for _, a := range b.asks {
		if now-a.sent <= t.acceptAge() {
			kept = append(kept, a)
			continue
		}
		if !a.answered {
			b.remember(a.to, hint{at: now, retryAt: now + int64(silentRetry)})
		}
	}
	b.asks = kept
	if len(kept) == 0 {
		b.asks = nil
	}
}

// candidate is a peer that may be asked and what it probably has.
type candidate struct {
	vm       ids.VMID
	expected int64
}

// ask asks peers for a shortage, those of the own data centre first.
func (t *Table) ask(sh *tableShard, b *bucket, s share, now, short int64, out *Outcome) {
	peers := t.peers.Load()
	chosen := t.pick(b, now, peers.vms[:peers.near], &short, nil)
	if far := peers.vms[peers.near:]; short > 0 && len(far) > 0 {
		from := b.cursor % len(far)
		scan := append(slices.Clone(far[from:min(len(far), from+farScan)]), far[:min(from, max(0, from+farScan-len(far)))]...)
		chosen = t.pick(b, now, scan, &short, chosen)
		b.cursor = from + len(chosen)
	}
	if len(chosen) == 0 {
		return
	}
	// What the peers are not expected to have is asked for all the same, in
	// equal parts: expectations are low where nothing was heard.
	extra := max(short, 0) / int64(len(chosen))
	spare := max((s.cap/2-b.level)/int64(len(chosen)), 0) / micro
	for _, c := range chosen {
		need := (c.expected + extra + micro - 1) / micro
		t.sendAsk(sh, b, now, c.vm, peer.LimitsBorrowRequest{
			Need: need, Spare: spare,
			WaitedMillis: (now - b.waiting[0].since) / int64(time.Millisecond),
		}, out)
	}
}

// askAhead asks the fullest peer for spare tokens when the own level is low. A
// full bucket loses what it earns, so its tokens are moved before a request has
// to wait for them.
func (t *Table) askAhead(sh *tableShard, b *bucket, s share, now int64, out *Outcome) {
	goal := s.cap / aheadDen * aheadNum
	if b.level >= goal || len(b.asks) > 0 || now < b.nextAhead {
		return
	}
	b.nextAhead = now + int64(aheadPause)
	peers := t.peers.Load()
	best := t.fullest(b, now, peers.vms[:peers.near])
	if best.expected <= s.cap/2 {
		far := peers.vms[peers.near:]
		if len(far) == 0 {
			return
		}
		b.cursor++
		from := b.cursor % len(far)
		best = t.fullest(b, now, far[from:min(len(far), from+farScan)])
	}
	if spare := (goal - b.level) / micro; spare > 0 && best.expected > s.cap/2 {
		t.sendAsk(sh, b, now, best.vm, peer.LimitsBorrowRequest{Spare: spare}, out)
	}
}

// fullest returns the peer that probably has most.
func (t *Table) fullest(b *bucket, now int64, vms []VM) candidate {
	var best candidate
	for _, vm := range vms {
		if expected := t.expected(b, now, vm); expected > best.expected {
			best = candidate{vm: vm.ID, expected: expected}
		}
	}
	return best
}

// sendAsk opens an ask and adds its message.
func (t *Table) sendAsk(sh *tableShard, b *bucket, now int64, to ids.VMID, req peer.LimitsBorrowRequest, out *Outcome) {
	req.Ask, req.From, req.Customer = t.nextAsk.Add(1), t.self, b.customer
	b.asks = append(b.asks, openAsk{id: req.Ask, to: to, sent: now, need: req.Need * micro})
	sh.counters.AsksSent++
	out.Asks = append(out.Asks, Ask{To: to, Request: req})
}

// pick adds peers to the chosen ones, the fullest first, until the shortage is
// covered or the fan-out is reached.
func (t *Table) pick(b *bucket, now int64, vms []VM, short *int64, chosen []candidate) []candidate {
	var able []candidate
	for _, vm := range vms {
		if expected := t.expected(b, now, vm); expected >= micro {
			able = append(able, candidate{vm: vm.ID, expected: expected})
		}
	}
	slices.SortStableFunc(able, func(x, y candidate) int { return cmp.Compare(y.expected, x.expected) })
	for _, c := range able {
		if *short <= 0 || len(chosen) >= t.cfg.Fanout {
			break
		}
		c.expected = min(c.expected, *short)
		*short -= c.expected
		chosen = append(chosen, c)
	}
	return chosen
}

// expected returns what a peer probably has, or 0 if it must not be asked now.
func (t *Table) expected(b *bucket, now int64, vm VM) int64 {
	for _, a := range b.asks {
		if a.to == vm.ID && !a.answered {
			return 0
		}
	}
	s := t.peerShare(b, vm.DataCentre)
	h, heard := b.hints[vm.ID]
	switch {
	case s.rate == 0:
		return 0
	case !heard:
		return s.cap/2 + micro
	case h.retryAt > now:
		return 0
	}
	return max(min(s.cap, h.left+accrual(s.rate, now-h.at)), micro)
}

// wakeAt returns the next time at which the state changes by itself.
func (t *Table) wakeAt(b *bucket, s share, now int64) int64 {
	wake := now + int64(earnTime(s.rate, b.waiting[0].cost-b.level-b.reserved()))
	for _, w := range b.waiting {
		wake = min(wake, w.deadline)
	}
	for _, r := range b.reserve {
		wake = min(wake, r.expires-int64(releaseMargin))
	}
	for _, a := range b.asks {
		if t.rules.dropLate {
			wake = min(wake, a.sent+t.acceptAge()+1)
		}
	}
	for _, h := range b.hints {
		if h.retryAt > now {
			wake = min(wake, h.retryAt)
		}
	}
	return max(wake, now+int64(minWake))
}
