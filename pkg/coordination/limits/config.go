package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// Config holds the constants of the decision code. All VMs of a fleet use the
// same values.
type Config struct {
	// TransferMaxAge bounds the time from an ask to the use of its tokens. A
	// few round trips of 2 ms fit; each bucket's cap is lowered by its rate
	// times this age.
	TransferMaxAge time.Duration
	// MaxWait bounds the time that a request waits for tokens.
	MaxWait time.Duration
	// MaxWaiting bounds the waiting requests of one customer on one VM.
	MaxWaiting int
	// Fanout bounds the peers that one decision asks.
	Fanout int
	// UseUnusedSeats divides a data centre's share by its listed VMs instead of
	// its seats while the list is confirmed. A VM then earns nothing before it
	// has run for SettleTime.
	UseUnusedSeats bool
	// ListLagBound is the bound on the lag of the VM list that the platform
	// states. A list counts as confirmed for this long.
	ListLagBound time.Duration
	// FirstAsk is the number of the first ask. Drivers take it from the start
	// time, so that a reply to an earlier run matches no ask.
	FirstAsk uint64
}

// DefaultConfig returns the values of the design.
func DefaultConfig() Config {
	return Config{
		TransferMaxAge: 250 * time.Millisecond,
		MaxWait:        time.Second,
		MaxWaiting:     64,
		Fanout:         16,
		ListLagBound:   10 * time.Second,
		FirstAsk:       1,
	}
}

// SettleTime is how long a list must have stood before unused seats count. It
// covers the lag of the list on both sides.
func (c Config) SettleTime() time.Duration { return 2 * c.ListLagBound }

// StoreLoads is the reserved customer whose tokens are the weight store's
// loads. Colons are not allowed in customer ids of records.
const StoreLoads ids.CustomerID = "store:loads"

// LoadCost is the cost of one load of StoreLoads; a load is divided in
// thousandths so that a share below one load still counts.
const LoadCost int64 = 1000

// VM names a VM and its data centre.
type VM struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
}

// DataCentre is a data centre's part in a policy.
type DataCentre struct {
	// Seats is the largest number of VMs that ever run at once.
	Seats int
	// Weight is the part of every customer's rate; zero means no share.
	Weight float64
}

// Policy is a customer's limit as the records state it.
type Policy struct {
	// Revision is the highest revision of the records that the policy was
	// derived from: the customer's and those of all data centres.
	Revision ids.Revision
	// Rate is in tokens a second, Burst in tokens, both for the whole fleet.
	Rate, Burst float64
	// DataCentres is shared between policies and must not be changed after.
	DataCentres map[ids.DataCentreID]DataCentre
}

// fraction returns the part of rate and burst that one seat of a data centre
// owns.
func (p Policy) fraction(dc ids.DataCentreID) float64 {
	return p.fractionOf(dc, p.weights())
}

// weights returns the sum of the weights of all data centres.
func (p Policy) weights() float64 {
	sum := 0.0
	for _, dc := range p.DataCentres {
		sum += max(dc.Weight, 0)
	}
	return sum
}

// fractionOf is fraction with the sum of the weights at hand.
func (p Policy) fractionOf(dc ids.DataCentreID, sum float64) float64 {
	own := p.DataCentres[dc]
	if own.Seats <= 0 || own.Weight <= 0 {
		return 0
	}
	return own.Weight / sum / float64(own.Seats)
}

// View is the VM list as a VM holds it.
type View struct {
	// VMs are all live and leaving VMs, the VM itself included.
	VMs []VM
	// ConfirmedAt is the time up to which the list is known to be fresh.
	ConfirmedAt time.Time
}

// Verdict is the outcome of an admission.
type Verdict int

// The verdicts of Admit.
const (
	// Granted means that the request runs now.
	Granted Verdict = iota + 1
	// Waiting means that the ticket is granted or refused later.
	Waiting
	// Refused means that the request does not run.
	Refused
)

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonUnknown means that the customer has no policy on this VM.
	ReasonUnknown Reason = "unknown customer"
	// ReasonTooLarge means that the cost is above what the customer can ever
	// have; a retry is of no use.
	ReasonTooLarge Reason = "cost above the usable burst"
	// ReasonOverRate means that the tokens did not suffice in time.
	ReasonOverRate Reason = "over the rate"
)

// Ticket names a waiting request on this VM.
type Ticket uint64

// Grant tells that a waiting request runs now.
type Grant struct {
	Ticket Ticket
	Charge *Charge
}

// Refusal tells that a waiting request does not run.
type Refusal struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is the time after which the customer's rate may have earned
	// the cost.
	RetryAfter time.Duration
}

// Ask is a message of method limits.borrow.
type Ask struct {
	To      ids.VMID
	Request peer.LimitsBorrowRequest
}

// Return is a message of method limits.return.
type Return struct {
	To      ids.VMID
	Message peer.LimitsReturn
}

// Outcome is what the driver has to do after a call: end the waits of the
// granted and refused tickets, send the messages, and call Wake for the
// customer at WakeAt unless it is zero. A later outcome for the same customer
// replaces WakeAt.
type Outcome struct {
	Granted []Grant
	Refused []Refusal
	Asks    []Ask
	Returns []Return
	WakeAt  time.Time
}

// Decision is the answer to Admit. Granted carries a Charge, Waiting a Ticket,
// Refused a Reason and a retry time. Outcome may concern other tickets of the
// customer and is to be carried out in every case.
type Decision struct {
	Verdict    Verdict
	Charge     *Charge
	Ticket     Ticket
	Reason     Reason
	RetryAfter time.Duration
	Outcome    Outcome
}
