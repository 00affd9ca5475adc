package node

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

const (
	// proofAgeShare is the share of Bounds.MaxRevocationDelay within which a request
	// with a key may be sent. The rest covers the request's way to the endpoint
	// and the time that the caller takes to send it.
	proofAgeShare = 0.8
	// maxProofAgeToDeny is the proof age up to which an unknown route or key is
	// answered as nonexistent. With an older proof, this VM answers only that
	// it cannot serve the request.
	maxProofAgeToDeny = 1500 * time.Millisecond
	// defaultTimeLimit applies if neither the caller nor the route sets a time
	// limit.
	defaultTimeLimit    = 60 * time.Second
	defaultMaxBodyBytes = 4 << 20
)

// requestState is the state of one caller's request while this VM handles it.
type requestState struct {
	request  *serving.Request
	key      string
	header   http.Header
	method   string
	target   string
	host     string
	body     *requestBody
	pickSalt uint64

	// excluded holds the endpoints to which this request is not sent again.
	excluded map[ids.EndpointID]bool
	// shedByEndpoint is set once an endpoint shed the request for lack of room.
	shedByEndpoint bool
	// searchBegan is when the search for the next endpoint began: at the arrival, or
	// when a stream that has begun broke off.
	searchBegan time.Time
	// startAttempt identifies the search for an engine in messages to owners.
	startAttempt uint64
	// resumeSearches counts the searches for an endpoint at which a stream that broke
	// off can go on.
	resumeSearches int
	// besideSend is set for a search for another endpoint while a send goes on.
	// It waits for nothing and starts no load of an adapter.
	besideSend bool
	// deniedBy is the engine that last denied having the adapter; nil once its
	// owner was asked about it.
	deniedBy *serving.Endpoint
	// fullEngines holds the engines that cannot load the adapter in time.
	fullEngines map[ids.EndpointID]bool
	// possibleRuns counts the endpoints at which the request may have started
	// to run.
	possibleRuns int
	sends        int
	ensureCalls  int
	lastEndpoint ids.EndpointID
	// askedEngine is the engine that was last asked to load the adapter, and
	// askedOwner the VM that owns it.
	askedEngine ids.EndpointID
	askedOwner  ids.VMID
	// quarantineTrial is set if the request was let through to see whether its
	// parts still crash engines.
	quarantineTrial bool
	// prefillGrant is an owner's permission to start the request's prefill. It
	// is held until the owner is told that the first token arrived or that the
	// request ended.
	prefillGrant prefillGrant
	// prefillWait is how long the request waited for owners to let it start.
	prefillWait time.Duration
	// ownersAsked counts the data centres whose owners were asked in the last choice,
	// and denials the answers of engines that did not hold the adapter.
	ownersAsked, denials int
	// refusedBy is the data centre whose owner was asked first in the last choice and
	// refused; empty if it did not.
	refusedBy ids.DataCentreID
	// lastEventID is the id of the last event sent to the caller.
	lastEventID     string
	responseStarted bool
	// outlastDrainAnswers lets the request go on when a drain answers those that
	// are open: it is called when the response starts, so that the answer has until
	// the end of the drain.
	outlastDrainAnswers func() bool
	// bodyBytes counts the bytes of the body that were written to the caller.
	bodyBytes int64
	// lastSend is the result of the last send that has ended, and engineSilence
	// the time between the last bytes from its endpoint and its end.
	lastSend      sendResult
	engineSilence time.Duration
	firstByteAt   time.Time
	lastChunkAt   time.Time
	// longestGap is the longest pause between two chunks of a stream.
	longestGap time.Duration
	charged    bool
}

func (n *Node) newRequestState(r *http.Request, arrived time.Time) *requestState {
	return &requestState{
		request: &serving.Request{Arrived: arrived}, searchBegan: arrived,
		header: r.Header, method: r.Method, target: r.RequestURI, host: r.Host,
		excluded: make(map[ids.EndpointID]bool), fullEngines: make(map[ids.EndpointID]bool),
		pickSalt: n.pickSalt.Add(1),
	}
}

// admit reads a request and decides whether it may be served. It returns a
// refusal if not.
func (n *Node) admit(w http.ResponseWriter, r *http.Request, p *requestState) *refusal {
	call, err := n.headerCodec.ParseRequest(r.Header)
	p.request.ID = call.RequestID
	if err != nil {
		return refuseStatus(http.StatusBadRequest, err.Error())
	}
	if !strings.HasPrefix(p.target, "/") {
		return refuseStatus(http.StatusBadRequest, "the request target is not a path")
	}
	if targetURL("", p.target).RequestURI() != p.target {
		return refuseStatus(http.StatusBadRequest, "the request target cannot be forwarded as it is")
	}
	view := n.directory.View()
	if view.Config == nil {
		return refuseNoConfig("no configuration yet")
	}
	p.setCall(call)
	if refused := n.authenticate(view, p, call.Key); refused != nil {
		return refused
	}
	if p.request.Service.Engine != nil && hasLongModelName(call) {
		return refuseStatus(http.StatusNotFound, "no model has so long a name")
	}
	p.setDeadline(call.TimeLeft)
	if n.drainSchedule.Load().refuses(time.Now(), p.request.Deadline) {
		return refuseBusy(retryOtherVM, "the VM shuts down")
	}
	if refused := n.readBody(w, r, p, view.Config.Limits.BodyBytes, view.Config.Limits.IdleTimeout); refused != nil {
		return refused
	}
	if refused := n.checkQuarantine(p); refused != nil {
		return refused
	}
	return n.chargeCustomer(time.Now(), p, call)
}

// maxModelNameBytes bounds the name of a model or adapter as a caller states it. Names
// are sent to peers several times a second and kept for some time after their requests.
// The keys of the platform's store, which hold them, are not longer.
const maxModelNameBytes = 200

func hasLongModelName(call Call) bool {
	return len(call.Model)+len("/")+len(call.Adapter) > maxModelNameBytes
}

func (p *requestState) setCall(call Call) {
	p.key = call.Key
	if !hasLongModelName(call) {
		p.request.Model, p.request.Adapter = call.Model, call.Adapter
	}
	p.request.PromptTokens, p.request.MaxOutputTokens = call.PromptTokens, call.MaxOutputTokens
	p.request.SharedParts = call.SharedParts
	p.request.ResumeAfter = call.ResumeAfter
	p.lastEventID = call.ResumeAfter
}

// authenticate finds the route, the service and the customer of a request.
func (n *Node) authenticate(view *directory.View, p *requestState, key string) *refusal {
	age, proven := n.proofAge()
	current := proven && age <= maxProofAgeToDeny
	path, _, _ := strings.Cut(p.target, "?")
	route := view.Route(p.host, path)
	if route == nil {
		if !current {
			return refuseNoConfig("route unknown to an old configuration")
		}
		return refuseStatus(http.StatusNotFound, "no route")
	}
	p.request.Route = route
	p.request.Service = view.Config.Services[split(route, rand.Float64())]
	if p.request.Service == nil {
		return refuseNoEndpoint()
	}
	customer := view.CustomerByKey(key)
	if customer == nil && !route.Open {
		if !current {
			return refuseNoConfig("key unknown to an old configuration")
		}
		return refuseStatus(http.StatusUnauthorized, "unknown key")
	}
	p.request.Customer = customer
	p.request.Urgency = route.Priority
	if customer != nil && customer.Priority != nil {
		p.request.Urgency = *customer.Priority
	}
	return n.checkKey(p)
}

// split picks one of a route's services by weight. random is in [0, 1). Negative weights
// count as 0; without a positive weight, the first service is picked.
func split(route *serving.Route, random float64) string {
	largest := 0.0
	for _, split := range route.Splits {
		largest = max(largest, split.Weight)
	}
	picked := route.Splits[0].Service
	if len(route.Splits) == 1 || largest == 0 {
		return picked
	}
	// Relative to the largest weight, the sum is finite whatever the weights are.
	total := 0.0
	for _, split := range route.Splits {
		total += max(split.Weight, 0) / largest
	}
	at := random * total
	for _, split := range route.Splits {
		if split.Weight <= 0 {
			continue
		}
		picked = split.Service
		if at -= split.Weight / largest; at < 0 {
			break
		}
	}
	return picked
}

// checkKey returns a refusal if a request with a key must not run now. It is
// called at admission and again before each send.
func (n *Node) checkKey(p *requestState) *refusal {
	if p.request.Customer == nil || p.request.Route.Open {
		return nil
	}
	customer := n.directory.View().CustomerByKey(p.key)
	if customer == nil || customer.ID != p.request.Customer.ID {
		return refuseStatus(http.StatusUnauthorized, "the key was withdrawn")
	}
	if !n.settings.Bounds.StrictRevocation {
		return nil
	}
	age, proven := n.proofAge()
	if !proven || age > time.Duration(proofAgeShare*float64(n.settings.Bounds.MaxRevocationDelay)) {
		return refuseNoConfig("no recent proof of the configuration")
	}
	return nil
}

// proofAge returns the age of the proof that the configuration is current, and
// reports whether there is a proof.
func (n *Node) proofAge() (time.Duration, bool) {
	n.proofMu.Lock()
	defer n.proofMu.Unlock()
	return n.proof.Age(n.bootTime())
}

// setDeadline sets the request's deadline from the shorter of the caller's and
// the route's time limits.
func (p *requestState) setDeadline(left time.Duration) {
	if left <= 0 {
		left = defaultTimeLimit
	}
	if timeout := p.request.Route.Timeout; timeout > 0 {
		left = min(left, timeout)
	}
	p.request.Deadline = p.request.Arrived.Add(left)
}

func (n *Node) readBody(w http.ResponseWriter, r *http.Request, p *requestState, limit int64, idleTimeout time.Duration) *refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return n.refuseBody(0, &http.MaxBytesError{Limit: limit})
	}
	connection := connections.IDOf(r.Context())
	if r.Body != nil && r.Body != http.NoBody {
		// After its deadline, the request could not be sent any more. Without a
		// connection there is no deadline to set.
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(p.request.Deadline)
		defer func() {
			if p.body != nil {
				_ = controller.SetReadDeadline(time.Time{})
			}
		}()
		var customer ids.CustomerID
		if p.request.Customer != nil {
			customer = p.request.Customer.ID
		}
		n.callerAccount.beginBody(connection, customer, idleTimeout)
	}
	body, err := n.bodyMemory.readBodyOf(connection, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return n.refuseBody(connection, err)
	}
	if reason := n.callerAccount.endBody(connection); reason != "" {
		body.release()
		return n.refuseBody(connection, nil)
	}
	p.body = body
	return nil
}

// chargeCustomer charges the request's cost to the customer's rate limit, and
// returns a refusal if the limit is exceeded.
func (n *Node) chargeCustomer(now time.Time, p *requestState, call Call) *refusal {
	customer := p.request.Customer
	if customer == nil {
		return nil
	}
	p.request.Cost = 1
	if customer.CountTokens {
		p.request.Cost = customer.PlainTokens
		if call.HasTokens {
			p.request.Cost = call.tokens()
		}
	}
	limit := capLimit(customer)
	n.capsMu.Lock()
	defer n.capsMu.Unlock()
	admitted, after := n.caps.Admit(now, customer.ID, limit, caps.Request{
		Cost:       p.request.Cost,
		Generation: p.request.Service.Engine != nil,
		Urgency:    p.request.Route.Priority,
		Draw:       rand.Float64(),
	})
	if !admitted {
		reason := "over the customer's rate"
		if limit.NeverAdmits(p.request.Cost) {
			reason = "larger than the customer's limit admits"
		}
		return &refusal{status: http.StatusTooManyRequests, reason: reason, retryAfter: after}
	}
	p.charged = true
	return nil
}

// refundCustomer returns the charge of a request that did not run.
func (n *Node) refundCustomer(now time.Time, p *requestState) {
	if !p.charged {
		return
	}
	n.capsMu.Lock()
	defer n.capsMu.Unlock()
	n.caps.Refund(now, p.request.Customer.ID, capLimit(p.request.Customer), p.request.Cost)
}

func capLimit(customer *serving.Customer) caps.Limit {
	return caps.Limit{Rate: customer.Rate, Burst: customer.Burst}
}
