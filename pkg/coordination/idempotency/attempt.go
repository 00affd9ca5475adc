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

// confirmedQuorum of HomeCount homes suffice while the list is confirmed.
const confirmedQuorum = 2

// claimerRules can be switched off by tests to show what each prevents.
type claimerRules struct {
	// allWhenUnconfirmed demands every home while the list is not confirmed.
	allWhenUnconfirmed bool
	// sameHomes counts only homes that compute the claimer's home set.
	sameHomes bool
	// commitTerm bounds the time from claim to commit.
	commitTerm bool
}

// Claimer makes the claims of one VM. Its methods may be called from any
// goroutine.
type Claimer struct {
	rules    claimerRules
	boot     ids.BootID
	members  *membership.Members
	sequence atomic.Uint64
}

// NewClaimer returns the claimer of a VM in one boot.
func NewClaimer(boot ids.BootID, members *membership.Members) *Claimer {
	return &Claimer{
		rules:   claimerRules{allWhenUnconfirmed: true, sameHomes: true, commitTerm: true},
		boot:    boot,
		members: members,
	}
}

// Call is a non-idempotent call with a key.
type Call struct {
	Key peer.IdempotencyKey
	// BodyDigest is the SHA-256 of method, path and body in hexadecimal.
	BodyDigest string
	// Region is the region of the route, and Window its repeat window.
	Region string
	Window time.Duration
}

// Verdict is what the homes' answers amount to.
type Verdict uint8

// The verdicts on an attempt.
const (
	// Pending: more answers are needed.
	Pending Verdict = iota
	// Granted: the call may be committed.
	Granted
	// AlreadyAnswered: the call ran; the stored answer is in Attempt.Answer.
	AlreadyAnswered
	// InProgress: another VM has claimed the key and may be running the call.
	InProgress
	// EndedUnknown: the call may have run, its outcome will not be known.
	EndedUnknown
	// KeyReused: the key was used for another call.
	KeyReused
	// KeyExpired: the key is older than the repeat window.
	KeyExpired
	// KeyFromFuture: the creation time in the key has not come yet.
	KeyFromFuture
	// NoQuorum: too few homes answered, cover the key or agree on its homes.
	NoQuorum
)

// Outcome returns what the caller is told when the call is not run by this VM.
// NotRun speaks of this call; an earlier call with the same key is not judged.
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

// Reason returns the reason that goes with Outcome.
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

// Attempt is the claim of one call. It belongs to one goroutine.
type Attempt struct {
	claimer *Claimer
	call    Call
	regions Regions
	id      peer.ClaimID
	homes   []ids.VMID
	begun   time.Time
	// list is the revision that homes must not be behind.
	list ids.Revision

	replies   map[ids.VMID]homeReply
	verdict   Verdict
	answer    *peer.StoredAnswer
	committed bool
	released  bool
	ended     bool
}

// homeReply is a home's last answer to the claim; failed stands for no answer.
type homeReply struct {
	status peer.ClaimStatus
	failed bool
}

// Begin starts the claim of a call. Send Claim to every VM of Homes, then pass
// each answer to OnReply, and each timeout or error to OnFailure.
func (c *Claimer) Begin(now time.Time, call Call, regions Regions) *Attempt {
	list := c.members.List()
	attempt := &Attempt{
		claimer: c,
		call:    call,
		regions: regions,
		id:      peer.ClaimID{VM: c.members.Self(), Boot: c.boot, Sequence: c.sequence.Add(1)},
		homes:   Homes(call.Key, call.Region, list.Live(), regions),
		begun:   now,
		list:    list.Revision,
		replies: make(map[ids.VMID]homeReply),
	}
	switch ageOf(now, call.Key.Key, call.Window) {
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

// Homes lists the VMs to ask, possibly the VM itself among them.
func (a *Attempt) Homes() []ids.VMID { return a.homes }

// ID returns the id of the claim.
func (a *Attempt) ID() peer.ClaimID { return a.id }

// Verdict returns what is known so far.
func (a *Attempt) Verdict() Verdict { return a.verdict }

// Answer returns the stored answer of an AlreadyAnswered attempt.
func (a *Attempt) Answer() *peer.StoredAnswer { return a.answer }

// Claim returns the message for the homes.
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

// OnReply takes a home's answer and returns the verdict. Repeated and foreign
// answers, and those after the verdict, change nothing.
func (a *Attempt) OnReply(now time.Time, reply peer.ClaimReply) Verdict {
	if a.verdict != Pending || reply.ID != a.id || !slices.Contains(a.homes, reply.Home) {
		return a.verdict
	}
	status := reply.Status
	if status == peer.ClaimGranted && a.claimer.rules.sameHomes && !slices.Equal(reply.Homes, a.homes) {
		status = peer.ClaimOtherHomes
	}
	a.replies[reply.Home] = homeReply{status: status}
	if final := a.decidingVerdict(reply); final != Pending {
		a.verdict = final
		return final
	}
	return a.decide(now)
}

// OnFailure records that a home did not answer in time.
func (a *Attempt) OnFailure(now time.Time, home ids.VMID) Verdict {
	if a.verdict != Pending || !slices.Contains(a.homes, home) {
		return a.verdict
	}
	if _, answered := a.replies[home]; !answered {
		a.replies[home] = homeReply{failed: true}
	}
	return a.decide(now)
}

// decidingVerdict returns the verdict that one home's answer settles by itself.
func (a *Attempt) decidingVerdict(reply peer.ClaimReply) Verdict {
	switch reply.Status {
	case peer.ClaimKeyReused:
		return KeyReused
	case peer.ClaimKeyExpired:
		return KeyExpired
	case peer.ClaimKeyFromFuture:
		return KeyFromFuture
	case peer.ClaimHeld:
		return a.heldVerdict(reply)
	}
	return Pending
}

func (a *Attempt) heldVerdict(reply peer.ClaimReply) Verdict {
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

// holderGone tells whether the VM that claimed the key has left or restarted,
// so that nobody will report the end of its call.
func (a *Attempt) holderGone(holder peer.ClaimID) bool {
	members := a.claimer.members
	if _, listed := members.List().VM(holder.VM); !listed {
		return true
	}
	state, heard := members.Peer(holder.VM)
	return heard && state.Boot != holder.Boot
}

// decide counts the homes' answers.
func (a *Attempt) decide(now time.Time) Verdict {
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
	if need, possible := a.quorum(now); possible && granted >= need {
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

// quorum returns how many homes must grant. With fewer than three homes there
// is no majority that survives a loss, so all of them and a confirmed list are
// needed.
func (a *Attempt) quorum(now time.Time) (need int, possible bool) {
	members := a.claimer.members
	confirmed := members.ConfirmedWithin(now, membership.ConfirmationTTL)
	if a.claimer.rules.sameHomes && !slices.Equal(a.homes, Homes(a.call.Key, a.call.Region, members.List().Live(), a.regions)) {
		return 0, false
	}
	switch {
	case len(a.homes) < HomeCount:
		return len(a.homes), confirmed || !a.claimer.rules.allWhenUnconfirmed
	case confirmed || !a.claimer.rules.allWhenUnconfirmed:
		return confirmedQuorum, true
	}
	return HomeCount, true
}

// CommitError tells why a claimed call must not be sent.
type CommitError struct {
	Verdict Verdict
	// Age is the time since the claim was begun.
	Age time.Duration
}

func (e *CommitError) Error() string {
	return fmt.Sprintf("idempotency: claim with verdict %d must not be committed after %s", e.Verdict, e.Age)
}

// Commit allows one sending of the call and returns the message to hand to the
// homes; nobody need wait for their answers. It is called right before every
// sending, retries after proof included.
func (a *Attempt) Commit(now time.Time) (peer.ClaimCommit, error) {
	age := now.Sub(a.begun)
	late := age >= CommitTerm && a.claimer.rules.commitTerm
	if a.verdict != Granted || a.released || a.ended || late {
		return peer.ClaimCommit{}, &CommitError{Verdict: a.verdict, Age: age}
	}
	a.committed = true
	return peer.ClaimCommit{ID: a.id, Key: a.call.Key}, nil
}

// End returns the message that tells the homes how a committed call ended.
func (a *Attempt) End(answer peer.StoredAnswer) peer.ClaimEnd {
	a.ended = true
	if len(answer.Body) > MaxAnswerBytes {
		answer = peer.StoredAnswer{Status: answer.Status, Dropped: true, Unknown: answer.Unknown}
	}
	return peer.ClaimEnd{ID: a.id, Key: a.call.Key, Answer: answer}
}

// Release gives the claim back at all homes, those that have not answered
// included. provedNotRun tells that every sending was proved not to have run;
// without it a committed claim is not released.
func (a *Attempt) Release(provedNotRun bool) (peer.ClaimRelease, bool) {
	if a.ended || (a.committed && !provedNotRun) {
		return peer.ClaimRelease{}, false
	}
	a.released = true
	return peer.ClaimRelease{ID: a.id, Key: a.call.Key}, true
}
