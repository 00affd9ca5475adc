package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// Config holds the settings of a Table. All VMs of a fleet use the same values,
// except for FirstBorrowID.
type Config struct {
	// TransferMaxAge bounds the time from a borrow request to the use of the
	// borrowed tokens. It should fit a few round trips of 2 ms. The cap of each
	// bucket is lowered by what its rate earns in this time.
	TransferMaxAge time.Duration
	// MaxWait bounds the time that a request waits for tokens.
	MaxWait time.Duration
	// MaxWaiting bounds the waiting requests of one customer on one VM.
	MaxWaiting int
	// Fanout bounds the number of peers that one decision borrows from.
	Fanout int
	// UseUnusedSeats divides a data centre's share by the number of its listed
	// VMs instead of its seats, as long as the VM list is confirmed. A VM then
	// earns nothing before it has run for SettleTime.
	UseUnusedSeats bool
	// ListLagBound is the largest lag of the VM list that the platform
	// guarantees. A list counts as confirmed for this long.
	ListLagBound time.Duration
	// FirstBorrowID is where the ids of borrow requests start. Drivers derive it
	// from the start time, so that a reply to a request of an earlier run
	// matches no pending one.
	FirstBorrowID uint64
}

// DefaultConfig returns the settings that daemons use.
func DefaultConfig() Config {
	return Config{
		TransferMaxAge: 250 * time.Millisecond,
		MaxWait:        time.Second,
		MaxWaiting:     64,
		Fanout:         16,
		ListLagBound:   10 * time.Second,
		FirstBorrowID:  1,
	}
}

// SettleTime is how long a VM list must have been in use before the share of
// unused seats is used. It covers the list's lag on both sides: at this VM and
// at its peers.
func (c Config) SettleTime() time.Duration { return 2 * c.ListLagBound }

// StoreLoadsCustomer is a reserved customer whose tokens pay for loads from the
// weight store. It cannot clash with a real customer, because customer ids in
// records contain no colons.
const StoreLoadsCustomer ids.CustomerID = "store:loads"

// StoreLoadCost is the cost of one load, charged to StoreLoadsCustomer. A load
// costs a thousand tokens rather than one, so that a VM's share of less than
// one load still counts.
const StoreLoadCost int64 = 1000

// VM identifies a VM and its data centre.
type VM struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
}

// DataCentre is the part of a policy that concerns one data centre.
type DataCentre struct {
	// Seats is the largest number of VMs that ever run in the data centre at
	// once.
	Seats int
	// Weight is the data centre's part of every customer's rate, relative to
	// the weights of the others; zero means no share.
	Weight float64
}

// Policy is a customer's limit, derived from the configuration records.
type Policy struct {
	// Revision is the highest revision among the records that the policy was
	// derived from: the customer's record and those of all data centres.
	Revision ids.Revision
	// Rate is in tokens a second, Burst in tokens, both for the whole fleet.
	Rate, Burst float64
	// DataCentres is shared between policies and must not be changed once it is
	// set.
	DataCentres map[ids.DataCentreID]DataCentre
}

// seatFraction returns the part of rate and burst that one seat of a data
// centre owns.
func (p Policy) seatFraction(dc ids.DataCentreID) float64 {
	return p.seatFractionOf(dc, p.totalWeight())
}

// totalWeight returns the sum of the weights of all data centres.
func (p Policy) totalWeight() float64 {
	sum := 0.0
	for _, dc := range p.DataCentres {
		sum += max(dc.Weight, 0)
	}
	return sum
}

// seatFractionOf is seatFraction for callers that already know the total
// weight.
func (p Policy) seatFractionOf(dc ids.DataCentreID, totalWeight float64) float64 {
	own := p.DataCentres[dc]
	if own.Seats <= 0 || own.Weight <= 0 {
		return 0
	}
	return own.Weight / totalWeight / float64(own.Seats)
}

// VMList is the VM list as one VM knows it.
type VMList struct {
	// VMs are all live and leaving VMs, including the VM itself.
	VMs []VM
	// ConfirmedAt is the latest time at which the list is known to have been
	// fresh.
	ConfirmedAt time.Time
}

// Verdict is the result of an admission.
type Verdict int

// The verdicts of Admit.
const (
	// Granted means that the request runs now.
	Granted Verdict = iota + 1
	// Waiting means that the request waits; its ticket is granted or refused
	// later.
	Waiting
	// Refused means that the request does not run.
	Refused
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonUnknown means that the customer has no policy on this VM.
	ReasonUnknown Reason = "unknown customer"
	// ReasonTooLarge means that the request costs more than the customer can
	// ever hold, so that a retry is useless.
	ReasonTooLarge Reason = "cost above the usable burst"
	// ReasonOverRate means that too few tokens were available in time.
	ReasonOverRate Reason = "over the rate"
)

// Ticket identifies a waiting request on this VM.
type Ticket uint64

// Grant says that a waiting request may run now.
type Grant struct {
	Ticket Ticket
	Charge *Charge
}

// Refusal says that a waiting request must not run.
type Refusal struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is the time in which the customer's rate may earn the cost.
	RetryAfter time.Duration
}

// BorrowMessage is a limits.borrow request that the driver sends to a lender.
type BorrowMessage struct {
	To      ids.VMID
	Request peer.LimitsBorrowRequest
}

// ReturnMessage is a limits.return message that the driver sends to a lender.
type ReturnMessage struct {
	To      ids.VMID
	Message peer.LimitsReturn
}

// Outcome lists what the driver has to do after a call: end the waits of the
// granted and refused tickets, send the messages, and call Wake for the
// customer at WakeAt unless it is zero. WakeAt replaces that of an earlier
// outcome for the same customer.
type Outcome struct {
	Granted []Grant
	Refused []Refusal
	// BorrowRequests are the borrow requests to send.
	BorrowRequests []BorrowMessage
	Returns        []ReturnMessage
	WakeAt         time.Time
}

// Decision is the result of Admit. A granted request has a Charge, a waiting
// one a Ticket, and a refused one a Reason and a retry time. Outcome may
// concern other tickets of the customer; the driver must carry it out in every
// case.
type Decision struct {
	Verdict    Verdict
	Charge     *Charge
	Ticket     Ticket
	Reason     Reason
	RetryAfter time.Duration
	Outcome    Outcome
}
