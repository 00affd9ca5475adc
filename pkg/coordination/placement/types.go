package placement

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Config sets how a Planner decides.
type Config struct {
	// Policy favours few load stalls or full batches.
	Policy records.Policy
	// ReportLag bounds how late an engine report shows the effect of an order.
	ReportLag time.Duration
	// DemandTerm is how long demand counts without being told again.
	DemandTerm time.Duration
	// HalfLife is the time in which the weight of past use halves.
	HalfLife time.Duration
	// BackoffFirst and BackoffMost bound the delay after failed loads.
	BackoffFirst time.Duration
	BackoffMost  time.Duration
	// HomeTerm is how long a chosen home stays chosen.
	HomeTerm time.Duration
	// Patience is how long the throughput policy lets a single waiting request
	// wait for others of its adapter before it loads for it.
	Patience time.Duration
	// SendTerm is how long after its planning an order may be sent.
	SendTerm time.Duration
	// OrderTerm is when an order without an answer is given up. It is longer
	// than SendTerm and the longest load together.
	OrderTerm time.Duration
	// ReplicaBacklog is the number of requests, as a share of an engine's
	// batch, that must wait for a resident adapter before it is loaded once
	// more.
	ReplicaBacklog float64
	// CrowdedTerm is how long an engine on which nothing could be evicted is
	// passed over as a home.
	CrowdedTerm time.Duration
}

// DefaultConfig returns the settings in use for a policy.
func DefaultConfig(policy records.Policy) Config {
	return Config{
		Policy:       policy,
		ReportLag:    3 * time.Second,
		DemandTerm:   5 * time.Second,
		HalfLife:     2 * time.Minute,
		BackoffFirst: time.Second,
		BackoffMost:  30 * time.Second,
		HomeTerm:     10 * time.Second,
		Patience:     300 * time.Millisecond,
		SendTerm:     2 * time.Second,
		OrderTerm:    15 * time.Second,

		ReplicaBacklog: replicaBacklog,
		CrowdedTerm:    2 * time.Second,
	}
}

// replicaBacklog lets a quarter of a batch wait before another copy is loaded.
// With a whole batch, hot adapters waited for seconds behind full holders.
const replicaBacklog = 0.25

// Report is an engine's load report. Engines publish it with a lag.
type Report struct {
	Endpoint ids.EndpointID
	// Boot is the run of the engine, and Sequence orders the reports of a run.
	Boot     ids.BootID
	Sequence uint64
	Resident []ids.AdapterRef
	Running  int
	Waiting  int
}

// ReportEffect tells what a report changed.
type ReportEffect int

// The effects of a report.
const (
	// ReportIgnored means that the report is older than what is known.
	ReportIgnored ReportEffect = iota
	// ReportTaken means that the report is the newest of the run.
	ReportTaken
	// ReportRestarted means that the report shows a new run of the engine.
	ReportRestarted
)

// Waiting is the demand of one customer for one adapter version at one VM. It
// replaces what the same VM said before about the same pair.
type Waiting struct {
	Sender   ids.VMID
	Endpoint ids.EndpointID
	Ref      ids.AdapterRef
	Customer ids.CustomerID
	Requests int
	// Oldest is how long the oldest of the requests has waited.
	Oldest time.Duration
}

// OrderKind tells what an order does.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderEvict
)

// Order is one order to an engine. The carrier checks the authority again
// right before it leaves (ownership.Table.MayLoad or BeginEvict), and reports
// the end with Planner.OrderDone.
type Order struct {
	ID       uint64
	Kind     OrderKind
	Endpoint ids.EndpointID
	Ref      ids.AdapterRef
	Fence    ids.Fence
	// Boot is the run of the engine for which the order was planned.
	Boot ids.BootID
	// For is the adapter version that an eviction makes room for.
	For ids.AdapterRef
	// SendBy is when the order must have left. A carrier that comes later,
	// such as after a pause of the process, drops it with ResultNotSent.
	SendBy time.Time
}

// Result is how an order ended.
type Result int

// The results of orders.
const (
	// ResultDone means that the engine carried out the order.
	ResultDone Result = iota + 1
	// ResultFailed means that the engine refused the order or failed in it.
	ResultFailed
	// ResultNotSent means that the order never left, such as when the
	// authority had ended.
	ResultNotSent
	// ResultUnknown means that no answer came: the order may still take effect.
	ResultUnknown
)

// Gate tells the Planner what it may order. The daemon backs it by
// ownership.Table and by the rights to the weight store.
type Gate interface {
	// MayLoad is called for each planned load into a free slot.
	MayLoad(now time.Time, endpoint ids.EndpointID) (ids.Fence, error)
	// MayEvict is called for each eviction candidate.
	MayEvict(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef) error
	// MayOrder is called before an eviction is planned; it gives the token.
	MayOrder(now time.Time, endpoint ids.EndpointID) (ids.Fence, error)
	// TakeLoad takes the right to one load, with a place among the loads in
	// flight. It is called once for each load, before its eviction if it
	// needs one.
	TakeLoad(now time.Time) bool
	// EndLoad gives back the place in flight. used tells that the load was
	// sent, so that its right is spent; known tells that it has ended for
	// certain, so that the place is free at once.
	EndLoad(now time.Time, used, known bool)
}

// SpareTaker is implemented by gates that keep part of their rights back for
// customers within their share. A gate without it treats all loads alike.
type SpareTaker interface {
	// TakeSpareLoad is called in place of Gate.TakeLoad for customers that had
	// more than their share of the loads lately. It succeeds only if the given
	// part of the burst, from 0 to 1, remains for others after it.
	TakeSpareLoad(now time.Time, reserve float64) bool
}
