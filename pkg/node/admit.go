package node

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

const (
	// proofShare is the part of the revocation bound within which a request
	// with a key may be sent: the rest covers its way to the endpoint and a
	// caller's own sending.
	proofShare = 0.8
	// denyProof is the age of the proof above which an unknown route or key
	// is refused as not served here rather than as not existing.
	denyProof = 1500 * time.Millisecond
	// defaultTimeLeft applies to callers and routes without a time limit.
	defaultTimeLeft = 60 * time.Second
	defaultBody     = 4 << 20
)

// progress is the state of one request on its way through this VM.
type progress struct {
	request *serving.Request
	key     string
	header  http.Header
	method  string
	target  string
	host    string
	body    []byte
	salt    uint64

	// avoid holds the endpoints that this request is not sent to again.
	avoid map[ids.EndpointID]bool
	// denied is the engine that last denied having the adapter.
	denied *serving.Endpoint
	// full holds the engines that cannot load the adapter in time.
	full map[ids.EndpointID]bool
	// runs counts the endpoints at which the request may have begun to run.
	runs    int
	sends   int
	ensures int
	last    ids.EndpointID
	// home is the engine whose owner was last asked for the adapter, and owner
	// that VM.
	home  ids.EndpointID
	owner ids.VMID
	// grant is the word of an owner that the request may begin, until the
	// owner is told of its first token.
	grant grant
	// turnWait is how long the request waited for owners to let it begin.
	turnWait time.Duration
	// lastEvent is the id of the last event that the caller got.
	lastEvent string
	committed bool
	firstByte time.Time
	lastPart  time.Time
	// longestGap is the longest pause between two parts of a stream.
	longestGap time.Duration
	charged    bool
}

// admit reads a request and decides whether it may be served. It returns a
// refusal otherwise.
func (n *Node) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (*progress, *refusal) {
	call, err := n.wire.Parse(r.Header)
	p := &progress{
		request: &serving.Request{ID: call.ID, Arrived: arrived},
		header:  r.Header, method: r.Method, target: r.RequestURI, host: r.Host,
		avoid: make(map[ids.EndpointID]bool), full: make(map[ids.EndpointID]bool),
		salt: n.salt.Add(1),
	}
	if err != nil {
		return p, refuseStatus(http.StatusBadRequest, err.Error())
	}
	if !strings.HasPrefix(p.target, "/") {
		return p, refuseStatus(http.StatusBadRequest, "the request target is not a path")
	}
	view := n.directory.View()
	if view.Config == nil {
		return p, refuseNoConfig("no configuration yet")
	}
	p.fill(call)
	if refused := n.authenticate(arrived, view, p, call.Key); refused != nil {
		return p, refused
	}
	p.deadline(call.TimeLeft)
	if refused := p.read(w, r, view.Config.Limits.BodyBytes); refused != nil {
		return p, refused
	}
	return p, n.charge(time.Now(), p, call)
}

func (p *progress) fill(call Call) {
	p.key = call.Key
	p.request.Model, p.request.Adapter = call.Model, call.Adapter
	p.request.PromptTokens, p.request.MaxOutputTokens = call.PromptTokens, call.MaxOutputTokens
	p.request.ResumeAfter = call.ResumeAfter
	p.lastEvent = call.ResumeAfter
}

// authenticate finds the route, the service and the customer of a request.
func (n *Node) authenticate(now time.Time, view *directory.View, p *progress, key string) *refusal {
	age, proven := n.proofAge(now)
	current := proven && age <= denyProof
	path, _, _ := strings.Cut(p.target, "?")
	route := view.Route(p.host, path)
	if route == nil {
		if !current {
			return refuseNoConfig("route unknown to an old configuration")
		}
		return refuseStatus(http.StatusNotFound, "no route")
	}
	p.request.Route = route
	p.request.Service = view.Config.Services[split(route)]
	if p.request.Service == nil {
		return refuseNoEndpoint()
	}
	customer := view.Customer(key)
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
	return n.checkKey(now, p)
}

// split picks a service of a route by weight.
func split(route *serving.Route) string {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	total := 0
	for _, split := range route.Splits {
		total += split.Weight
	}
	if total <= 0 {
		return route.Splits[0].Service
	}
	at := rand.IntN(total)
	for _, split := range route.Splits {
		if at < split.Weight {
			return split.Service
		}
		at -= split.Weight
	}
	return route.Splits[0].Service
}

// checkKey decides whether a request with a key may run now. It is called at
// admission and again before each send.
func (n *Node) checkKey(now time.Time, p *progress) *refusal {
	if p.request.Customer == nil || p.request.Route.Open {
		return nil
	}
	customer := n.directory.View().Customer(p.key)
	if customer == nil || customer.ID != p.request.Customer.ID {
		return refuseStatus(http.StatusUnauthorized, "the key was withdrawn")
	}
	if !n.settings.Bounds.StrictRevocation {
		return nil
	}
	age, proven := n.proofAge(now)
	if !proven || age > time.Duration(proofShare*float64(n.settings.Bounds.Revocation)) {
		return refuseNoConfig("no recent proof of the configuration")
	}
	return nil
}

func (n *Node) proofAge(now time.Time) (time.Duration, bool) {
	n.proofMu.Lock()
	defer n.proofMu.Unlock()
	return n.proof.Age(now)
}

// deadline sets the end of the caller's and the route's time limits.
func (p *progress) deadline(left time.Duration) {
	if left <= 0 {
		left = defaultTimeLeft
	}
	if timeout := p.request.Route.Timeout; timeout > 0 {
		left = min(left, timeout)
	}
	p.request.Deadline = p.request.Arrived.Add(left)
}

func (p *progress) read(w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuseStatus(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		return refuseStatus(http.StatusBadRequest, "body cannot be read")
	}
	p.body = body
	return nil
}

// charge holds the customer to its cap.
func (n *Node) charge(now time.Time, p *progress, call Call) *refusal {
	customer := p.request.Customer
	if customer == nil {
		return nil
	}
	p.request.Cost = 1
	if customer.CountTokens {
		p.request.Cost = customer.PlainTokens
		if call.HasTokens {
			p.request.Cost = call.PromptTokens + call.MaxOutputTokens
		}
	}
	n.capsMu.Lock()
	defer n.capsMu.Unlock()
	admitted, after := n.caps.Admit(now, customer.ID, limitOf(customer), caps.Request{
		Cost:       p.request.Cost,
		Generation: p.request.Service.Engine != nil,
		Urgency:    p.request.Route.Priority,
		Draw:       rand.Float64(),
	})
	if !admitted {
		return &refusal{status: http.StatusTooManyRequests, reason: "over the customer's rate", retryAfter: after}
	}
	p.charged = true
	return nil
}

// refund returns the charge of a request that did not run.
func (n *Node) refund(now time.Time, p *progress) {
	if !p.charged {
		return
	}
	n.capsMu.Lock()
	defer n.capsMu.Unlock()
	n.caps.Refund(now, p.request.Customer.ID, limitOf(p.request.Customer), p.request.Cost)
}

func limitOf(customer *serving.Customer) caps.Limit {
	return caps.Limit{Rate: customer.Rate, Burst: customer.Burst}
}
