package placement

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Config holds the policy and the timeouts of a Planner.
type Config struct {
	// Policy selects what to optimise: few load stalls, or full batches.
	Policy records.Policy
	// ReportLag bounds the time until engine reports show the effect of an order.
	ReportLag time.Duration
	// DemandTerm is how long demand counts unless it is reported again.
	DemandTerm time.Duration
	// HalfLife is the time after which past use of an adapter counts half.
	HalfLife time.Duration
	// BackoffFirst and BackoffMost bound the delay after failed loads.
	BackoffFirst time.Duration
	BackoffMost  time.Duration
	// HomeTerm is how long the endpoint chosen for a load is kept.
	HomeTerm time.Duration
	// Patience is how long the throughput policy lets a single request wait for
	// others that need the same adapter before it is loaded.
	Patience time.Duration
	// SendTerm is how long after its planning an order may be sent.
	SendTerm time.Duration
	// OrderTerm is when an order without an answer is given up. It must exceed
	// SendTerm plus the longest load.
	OrderTerm time.Duration
	// ReplicaBacklog is the number of requests that must wait for a resident
	// adapter before another replica is loaded, as a fraction of an engine's
	// batch size.
	ReplicaBacklog float64
	// CrowdedTerm is how long an engine on which nothing could be evicted is
	// avoided as a load target.
	CrowdedTerm time.Duration
}

// DefaultConfig returns the configuration used in production for a policy.
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

		ReplicaBacklog: defaultReplicaBacklog,
		CrowdedTerm:    2 * time.Second,
	}
}

// defaultReplicaBacklog is a quarter of a batch. When a whole batch had to
// wait, requests for popular adapters waited for seconds because all replicas
// were full.
const defaultReplicaBacklog = 0.25

// Report is an engine's load report. It may be several seconds old.
type Report struct {
	Endpoint ids.EndpointID
	// Boot identifies the run of the engine, and Sequence orders the reports of a
	// run.
	Boot     ids.BootID
	Sequence uint64
	Resident []ids.AdapterRef
	Running  int
	Waiting  int
}

// ReportEffect is what a report changed.
type ReportEffect int

// The effects of a report.
const (
	// ReportIgnored means that the report is older than one already applied, or
	// of an unknown endpoint.
	ReportIgnored ReportEffect = iota
	// ReportApplied means that the report is the newest of the current run.
	ReportApplied
	// ReportNewRun means that the report is the first of a new run of the engine.
	ReportNewRun
)

// CustomerDemand is the demand of one customer for one adapter version at one
// VM. It replaces what the same VM reported before for the same customer and
// version.
type CustomerDemand struct {
	Sender   ids.VMID
	Endpoint ids.EndpointID
	Ref      ids.AdapterRef
	Customer ids.CustomerID
	Requests int
	// Oldest is how long the oldest of the requests has waited.
	Oldest time.Duration
}

// OrderKind is the action that an order requests.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderEvict
)

// Order is a load or evict order to an engine. Whoever sends it must check the
// ownership again right before it is sent (ownership.Table.MayLoad or
// BeginEvict) and report the outcome with Planner.CompleteOrder.
type Order struct {
	ID       uint64
	Kind     OrderKind
	Endpoint ids.EndpointID
	Ref      ids.AdapterRef
	Fence    ids.FencingToken
	// Boot identifies the run of the engine for which the order was planned.
	Boot ids.BootID
	// For is the adapter version that an eviction makes room for.
	For ids.AdapterRef
	// SendBy is the deadline for sending the order. After it, such as after a
	// pause of the process, the order must be dropped with ResultNotSent.
	SendBy time.Time
}

// OrderResult is the outcome of an order.
type OrderResult int

// The outcomes of orders.
const (
	// ResultDone means that the engine carried out the order.
	ResultDone OrderResult = iota + 1
	// ResultFailed means that the engine refused the order or failed to carry it
	// out.
	ResultFailed
	// ResultNotSent means that the order was not sent, for example because this
	// VM no longer owned the endpoint.
	ResultNotSent
	// ResultUnknown means that no answer came: the order may still take effect.
	ResultUnknown
)

// Gate limits the orders of a Planner. The daemon implements it with
// ownership.Table and with the load permits of the weight store.
type Gate interface {
	// MayLoad is called before each load is planned. It returns the fencing token
	// for the order.
	MayLoad(now time.Time, endpoint ids.EndpointID) (ids.FencingToken, error)
	// MayEvict is called for each adapter version that could be evicted.
	MayEvict(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef) error
	// MayOrder is called before an eviction is planned. It returns the fencing
	// token for the order.
	MayOrder(now time.Time, endpoint ids.EndpointID) (ids.FencingToken, error)
	// AcquireLoadPermit takes the permit for one load, which includes a place
	// among the loads in flight, and reports whether there was one. It is called
	// once for each load; if the load needs an eviction, before that eviction.
	AcquireLoadPermit(now time.Time) bool
	// ReleaseLoadPermit releases the permit. used means that the load was sent,
	// so that it counts against the rate; ended means that it is certain to have
	// ended, so that its place in flight is free at once.
	ReleaseLoadPermit(now time.Time, used, ended bool)
}

// ReservingGate is implemented by gates that can keep part of their permits for
// customers within their share. With a gate that does not implement it, all
// loads are treated alike.
type ReservingGate interface {
	// AcquireSpareLoadPermit is called instead of Gate.AcquireLoadPermit for
	// customers that had more than their share of recent loads. It succeeds only
	// if afterwards the given fraction of the burst, from 0 to 1, remains for
	// others.
	AcquireSpareLoadPermit(now time.Time, reserve float64) bool
}
