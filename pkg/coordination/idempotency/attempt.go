package idempotency

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// grantsWhenConfirmed is how many of HomeCount homes must grant a claim while
// the claimer's VM list is confirmed.
const grantsWhenConfirmed = 2

// claimerRules selects the safety rules that a Claimer enforces. Tests switch
// them off one by one to show which failure each of them prevents.
type claimerRules struct {
	// allWhenUnconfirmed requires the grants of all homes while the VM list is
	// not confirmed.
	allWhenUnconfirmed bool
	// sameHomes counts only the grants of homes that compute the same homes
	// for the key as the claimer.
	sameHomes bool
	// commitTimeout limits the time between claim and commit to CommitTimeout.
	commitTimeout bool
}

// Claimer starts the claims of one VM. Its methods may be called from any
// goroutine.
type Claimer struct {
	rules    claimerRules
	boot     ids.BootID
	members  *membership.Members
	sequence atomic.Uint64
}

// NewClaimer returns the Claimer of a VM for one run of its process.
func NewClaimer(boot ids.BootID, members *membership.Members) *Claimer {
	return &Claimer{
		rules:   claimerRules{allWhenUnconfirmed: true, sameHomes: true, commitTimeout: true},
		boot:    boot,
		members: members,
	}
}

// Call is a call with an idempotency key to an operation that is not
// idempotent.
type Call struct {
	Key peer.IdempotencyKey
	// BodyDigest is the hexadecimal SHA-256 of method, path and body.
	BodyDigest string
	// Region is the region of the route, and Window its repeat window.
	Region string
	Window time.Duration
}

// Verdict is the result of a claim, as far as the homes' replies show it.
type Verdict uint8

// Possible verdicts.
const (
	// Pending: more replies are needed.
	Pending Verdict = iota
	// Granted: the call may be committed.
	Granted
	// AlreadyAnswered: the call has run; Attempt.Answer returns the stored
	// answer.
	AlreadyAnswered
	// InProgress: another claim holds the key, and its call may be running.
	InProgress
	// EndedUnknown: the call may have run, and its outcome will never be
	// known.
	EndedUnknown
	// KeyReused: the key was used for a different call.
	KeyReused
	// KeyExpired: the key is older than the repeat window.
	KeyExpired
	// KeyFromFuture: the creation time in the key has not come yet.
	KeyFromFuture
	// NoQuorum: too few homes replied, cover the key, or agree on its homes.
	NoQuorum
)

// Outcome returns the outcome that the caller gets when this VM does not run
// the call. OutcomeNotRun refers to this call only, not to an earlier call
// with the same key.
func (v Verdict) Outcome() lifecycle.Outcome {
	switch v {
	case Pending, Granted:
		return lifecycle.OutcomePending
	case AlreadyAnswered:
		return lifecycle.OutcomeAnswer
	case InProgress, EndedUnknown, KeyExpired:
		return lifecycle.OutcomeUnknown
	default:
		return lifecycle.OutcomeNotRun
	}
}

// Reason returns the reason that is sent to the caller along with Outcome.
func (v Verdict) Reason() inferencev1.Reason {
	switch v {
	case InProgress:
		return inferencev1.Reason_REASON_IDEMPOTENCY_IN_PROGRESS
	case EndedUnknown:
		return inferencev1.Reason_REASON_CONNECTION_LOST
	case KeyReused:
		return inferencev1.Reason_REASON_IDEMPOTENCY_KEY_REUSED
	case KeyExpired:
		return inferencev1.Reason_REASON_IDEMPOTENCY_KEY_EXPIRED
	case KeyFromFuture:
		return inferencev1.Reason_REASON_MALFORMED
	case NoQuorum:
		return inferencev1.Reason_REASON_IDEMPOTENCY_UNAVAILABLE
	}
	return inferencev1.Reason_REASON_UNSPECIFIED
}

// Attempt is the claim of one call. It is not safe for concurrent use.
type Attempt struct {
	claimer   *Claimer
	call      Call
	regions   Regions
	id        peer.ClaimID
	homes     []ids.VMID
	startedAt time.Time
	// list is the VM list revision of the claim. Homes with an older
	// list refuse the claim.
	list ids.Revision

	replies   map[ids.VMID]homeReply
	verdict   Verdict
	answer    *peer.StoredAnswer
	committed bool
	released  bool
	ended     bool
}

// homeReply is the last reply of a home to the claim; failed means that the
// home did not reply.
type homeReply struct {
	status peer.ClaimStatus
	failed bool
}

// Begin starts the claim of a call. The caller sends the message that Claim
// returns to every VM that Homes returns, then passes each reply to OnReply
// and each timeout or error to OnFailure.
func (c *Claimer) Begin(now time.Time, call Call, regions Regions) *Attempt {
	list := c.members.List()
	attempt := &Attempt{
		claimer:   c,
		call:      call,
		regions:   regions,
		id:        peer.ClaimID{VM: c.members.Self(), Boot: c.boot, Sequence: c.sequence.Add(1)},
		homes:     Homes(call.Key, call.Region, list.Live(), regions),
		startedAt: now,
		list:      list.Revision,
		replies:   make(map[ids.VMID]homeReply),
	}
	switch classifyKeyAge(now, call.Key.Key, call.Window) {
	case keyExpired:
		attempt.verdict = KeyExpired
	case keyFromFuture:
		attempt.verdict = KeyFromFuture
	}
	if len(attempt.homes) == 0 {
		attempt.verdict = NoQuorum
	}
	return attempt
}

// Homes returns the VMs to claim the key at. The VM itself may be among them.
func (a *Attempt) Homes() []ids.VMID { return a.homes }

// ID returns the id of the claim.
func (a *Attempt) ID() peer.ClaimID { return a.id }

// Verdict returns the verdict so far.
func (a *Attempt) Verdict() Verdict { return a.verdict }

// Answer returns the stored answer if the verdict is AlreadyAnswered.
func (a *Attempt) Answer() *peer.StoredAnswer { return a.answer }

// Claim returns the message to send to the homes.
func (a *Attempt) Claim() peer.Claim {
	return peer.Claim{
		ID:           a.id,
		Key:          a.call.Key,
		BodyDigest:   a.call.BodyDigest,
		ListRevision: a.list,
		Homes:        a.homes,
		Region:       a.call.Region,
		WindowMillis: a.call.Window.Milliseconds(),
	}
}

// OnReply records the reply of a home and returns the verdict. Repeated
// replies, replies to other claims and replies after the verdict change
// nothing.
func (a *Attempt) OnReply(now time.Time, reply peer.ClaimReply) Verdict {
	if a.verdict != Pending || reply.ID != a.id || !slices.Contains(a.homes, reply.Home) {
		return a.verdict
	}
	status := reply.Status
	if status == peer.ClaimGranted && a.claimer.rules.sameHomes && !slices.Equal(reply.Homes, a.homes) {
		status = peer.ClaimOtherHomes
	}
	a.replies[reply.Home] = homeReply{status: status}
	if conclusive := a.conclusiveVerdict(reply); conclusive != Pending {
		a.verdict = conclusive
		return conclusive
	}
	return a.tallyReplies(now)
}

// OnFailure records that a home did not reply in time, and returns the
// verdict.
func (a *Attempt) OnFailure(now time.Time, home ids.VMID) Verdict {
	if a.verdict != Pending || !slices.Contains(a.homes, home) {
		return a.verdict
	}
	if _, answered := a.replies[home]; !answered {
		a.replies[home] = homeReply{failed: true}
	}
	return a.tallyReplies(now)
}

// conclusiveVerdict returns the verdict if the reply of this one home is
// enough to decide it, and otherwise Pending.
func (a *Attempt) conclusiveVerdict(reply peer.ClaimReply) Verdict {
	switch reply.Status {
	case peer.ClaimKeyReused:
		return KeyReused
	case peer.ClaimKeyExpired:
		return KeyExpired
	case peer.ClaimKeyFromFuture:
		return KeyFromFuture
	case peer.ClaimHeld:
		return a.verdictForHeld(reply)
	}
	return Pending
}

// verdictForHeld returns the verdict on a key that another claim holds, or
// Pending if that claim is not committed yet.
func (a *Attempt) verdictForHeld(reply peer.ClaimReply) Verdict {
	switch {
	case reply.State == peer.ClaimStateEnded && reply.Answer != nil && !reply.Answer.Unknown:
		a.answer = reply.Answer
		return AlreadyAnswered
	case reply.State == peer.ClaimStateEnded:
		return EndedUnknown
	case reply.Holder != nil && a.holderGone(*reply.Holder):
		return EndedUnknown
	case reply.State == peer.ClaimStateCommitted:
		return InProgress
	}
	return Pending
}

// holderGone reports whether the VM that holds the claim has left the VM list
// or restarted, so that no VM will report the end of its call.
func (a *Attempt) holderGone(holder peer.ClaimID) bool {
	members := a.claimer.members
	if _, listed := members.List().VM(holder.VM); !listed {
		return true
	}
	state, known := members.Peer(holder.VM)
	return known && state.Boot != holder.Boot
}

// tallyReplies counts the replies of the homes and returns the verdict.
func (a *Attempt) tallyReplies(now time.Time) Verdict {
	granted, held := 0, 0
	for _, reply := range a.replies {
		switch {
		case reply.failed:
		case reply.status == peer.ClaimGranted:
			granted++
		case reply.status == peer.ClaimHeld:
			held++
		}
	}
	if required, attainable := a.requiredGrants(now); attainable && granted >= required {
		a.verdict = Granted
		return Granted
	}
	if len(a.replies) < len(a.homes) {
		return Pending
	}
	a.verdict = NoQuorum
	if held > 0 {
		a.verdict = InProgress
	}
	return a.verdict
}

// requiredGrants returns how many homes must grant the claim, and whether a
// claim can succeed at all now. With fewer than three homes there is no
// majority that survives the loss of one, so all of them and a confirmed list
// are required.
func (a *Attempt) requiredGrants(now time.Time) (required int, attainable bool) {
	members := a.claimer.members
	confirmed := members.ConfirmedWithin(now, membership.ConfirmationTTL)
	if a.claimer.rules.sameHomes && !slices.Equal(a.homes, Homes(a.call.Key, a.call.Region, members.List().Live(), a.regions)) {
		return 0, false
	}
	switch {
	case len(a.homes) < HomeCount:
		return len(a.homes), confirmed || !a.claimer.rules.allWhenUnconfirmed
	case confirmed || !a.claimer.rules.allWhenUnconfirmed:
		return grantsWhenConfirmed, true
	}
	return HomeCount, true
}

// CommitError is the reason why a claimed call must not be sent.
type CommitError struct {
	Verdict Verdict
	// Age is the time since the attempt was started.
	Age time.Duration
}

func (e *CommitError) Error() string {
	return fmt.Sprintf("idempotency: claim with verdict %d must not be committed after %s", e.Verdict, e.Age)
}

// Commit allows the call to be sent once and returns the message to send to
// the homes; the caller need not wait for their replies. It is called right
// before every time that the call is sent, including retries after proof that
// the previous one did not run.
func (a *Attempt) Commit(now time.Time) (peer.ClaimCommit, error) {
	age := now.Sub(a.startedAt)
	tooLate := age >= CommitTimeout && a.claimer.rules.commitTimeout
	if a.verdict != Granted || a.released || a.ended || tooLate {
		return peer.ClaimCommit{}, &CommitError{Verdict: a.verdict, Age: age}
	}
	a.committed = true
	return peer.ClaimCommit{ID: a.id, Key: a.call.Key}, nil
}

// End returns the message that reports to the homes how a committed call
// ended.
func (a *Attempt) End(answer peer.StoredAnswer) peer.ClaimEnd {
	a.ended = true
	if len(answer.Body) > MaxAnswerBytes {
		answer = peer.StoredAnswer{Status: answer.Status, Dropped: true, Unknown: answer.Unknown}
	}
	return peer.ClaimEnd{ID: a.id, Key: a.call.Key, Answer: answer}
}

// Release returns the message that releases the claim at all homes, including
// those that have not replied. provedNotRun says that every time the call was
// sent it was proved not to have run; without it a committed claim is not
// released.
func (a *Attempt) Release(provedNotRun bool) (peer.ClaimRelease, bool) {
	if a.ended || (a.committed && !provedNotRun) {
		return peer.ClaimRelease{}, false
	}
	a.released = true
	return peer.ClaimRelease{ID: a.id, Key: a.call.Key}, true
}
