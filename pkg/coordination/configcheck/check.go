package configcheck

import (
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

// checker collects the findings of one document.
type checker struct {
	document Document
	config   *serving.Config
	// view is what a VM looks up routes and customers in, so that the check uses
	// the matching rules that are in force.
	view     *directory.View
	route    func(host, path string) *serving.Route
	findings []Finding
}

// Check returns the faults of a document.
func Check(document Document) []Finding {
	c := &checker{document: document, config: document.Config, view: directory.NewView(document.Config, nil, nil)}
	c.route = matcher(document, c.view)
	c.checkServices()
	for i := range c.config.Routes {
		c.checkMatch(i)
		c.checkSplits(i)
		c.checkTimes(i)
	}
	customers := make(map[string]int)
	for i := range c.config.Customers {
		customer := &c.config.Customers[i]
		if first, repeated := customers[string(customer.ID)]; repeated {
			c.add(Error, ref(Customers, i, FieldName), "customer %q is listed twice (first at %s) and its rate limit is undefined", customer.ID, c.position(ref(Customers, first, FieldName)))
		} else {
			customers[string(customer.ID)] = i
		}
		c.checkKeys(i)
		c.checkRate(i)
	}
	Sort(c.findings)
	return c.findings
}

// matcher returns the rule by which a document's routes match.
func matcher(document Document, view *directory.View) func(host, path string) *serving.Route {
	if document.Route != nil {
		return document.Route
	}
	return view.Route
}

func (c *checker) position(r Ref) Position { return c.document.Position(r) }

func (c *checker) add(severity Severity, at Ref, format string, arguments ...any) *Finding {
	c.findings = append(c.findings, Finding{Severity: severity, Position: c.position(at), Problem: fmt.Sprintf(format, arguments...)})
	return &c.findings[len(c.findings)-1]
}

func (c *checker) hidden(at Ref, by Ref, format string, arguments ...any) {
	position := c.position(by)
	c.add(Error, at, format, arguments...).HiddenBy = &position
}

func (c *checker) checkServices() {
	last := make(map[string]int)
	for i, name := range c.document.ServiceNames {
		last[name] = i
	}
	for i, name := range c.document.ServiceNames {
		if last[name] != i {
			c.hidden(ref(Services, i, FieldName), ref(Services, last[name], FieldName), "service %q is listed again, and the last entry is used", name)
		}
	}
}

// checkMatch reports a route that no request can match.
func (c *checker) checkMatch(i int) {
	route := &c.config.Routes[i]
	prefix := ref(Routes, i, FieldPathPrefix)
	switch {
	case route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/"):
		c.add(Error, prefix, "route %q never matches: paths begin with a slash, its prefix %q does not", route.ID, route.PathPrefix)
		return
	case strings.ContainsAny(route.PathPrefix, "?# \t"):
		c.add(Error, prefix, "route %q never matches: a path as it is sent contains no query, fragment or space", route.ID)
		return
	case route.Host == "":
		c.add(Warning, ref(Routes, i, FieldHost), "route %q matches only requests without a host; an empty host is not a wildcard", route.ID)
	}
	for j := range c.config.Routes {
		if match := c.route(route.Host, route.PathPrefix); match != route && match == &c.config.Routes[j] {
			c.hidden(prefix, ref(Routes, j, FieldPathPrefix), "route %q never matches: route %q has the same host and path prefix", route.ID, match.ID)
		}
	}
}

func (c *checker) checkSplits(i int) {
	route := &c.config.Routes[i]
	total := 0.0
	for _, split := range route.Splits {
		total += max(split.Weight, 0)
	}
	for j, split := range route.Splits {
		at := ref(Routes, i, FieldSplits)
		if len(route.Splits) > 1 {
			at.Item = j
		}
		if c.config.Services[split.Service] == nil {
			c.add(Error, at, "route %q names service %q, which is not listed: its requests are refused", route.ID, split.Service)
		}
		switch {
		case split.Weight < 0:
			c.add(Error, at, "route %q: the weight of service %q is negative", route.ID, split.Service)
		case len(route.Splits) > 1 && split.Weight == 0 && (total > 0 || j > 0):
			c.add(Warning, at, "route %q never uses service %q: its weight is 0", route.ID, split.Service)
		}
	}
}

// checkTimes reports times and attempts of a route that exclude each other.
func (c *checker) checkTimes(i int) {
	route := &c.config.Routes[i]
	if route.Timeout < 0 || route.Objective < 0 || route.PauseObjective < 0 {
		c.add(Error, ref(Routes, i, FieldTimeout), "route %q has a negative time", route.ID)
		return
	}
	bounded := route.Timeout > 0
	if bounded && route.Objective > route.Timeout {
		c.add(Error, ref(Routes, i, FieldObjective), "route %q: the objective %v is beyond the time limit %v", route.ID, route.Objective, route.Timeout)
	}
	if bounded && route.PauseObjective > route.Timeout {
		c.add(Error, ref(Routes, i, FieldPauseObjective), "route %q: the objective for pauses %v is beyond the time limit %v", route.ID, route.PauseObjective, route.Timeout)
	}
	if need := time.Duration(route.Attempts) * route.Objective; bounded && route.Attempts > 1 && route.Objective <= route.Timeout && need > route.Timeout {
		c.add(Warning, ref(Routes, i, FieldAttempts), "route %q: %d attempts of up to the objective %v need %v, the time limit is %v", route.ID, route.Attempts, route.Objective, need, route.Timeout)
	}
	if route.Attempts > 1 && !route.MayRepeat() {
		c.add(Warning, ref(Routes, i, FieldAttempts), "route %q: %d attempts have no effect, since %s requests run at most once", route.ID, route.Attempts, route.Kind)
	}
	if route.Resumable && route.Kind != serving.Streaming {
		c.add(Warning, ref(Routes, i, FieldResumable), "route %q: only streams can resume", route.ID)
	}
	if route.Priority < 0 {
		c.add(Error, ref(Routes, i, FieldPriority), "route %q: the priority is negative", route.ID)
	}
}

// checkKeys reports keys that never identify their customer.
func (c *checker) checkKeys(i int) {
	customer := &c.config.Customers[i]
	for j, key := range customer.Keys {
		at := ref(Customers, i, FieldKeys)
		at.Item = j
		name := keyName(string(customer.ID), j, key)
		owner := c.view.CustomerByKey(key)
		switch {
		case key == "":
			c.add(Error, at, "%s is empty: it matches no caller", name)
		case strings.TrimRightFunc(key, unicode.IsSpace) != key || strings.ContainsFunc(key, unicode.IsControl):
			c.add(Error, at, "%s never matches: a header cannot carry its white space or control characters", name)
		case owner != customer:
			c.hidden(at, c.keyRef(key, owner), "%s never matches: customer %q has the same key, and the last entry is used", name, owner.ID)
		}
	}
}

// keyRef returns the place of a key of a customer.
func (c *checker) keyRef(key string, owner *serving.Customer) Ref {
	for i := range c.config.Customers {
		if &c.config.Customers[i] != owner {
			continue
		}
		for j, candidate := range owner.Keys {
			if candidate == key {
				return Ref{Section: Customers, Index: i, Field: FieldKeys, Item: j}
			}
		}
	}
	return ref(Customers, 0, FieldEntry)
}

// checkRate reports limits of a customer that no request or no service can keep to.
func (c *checker) checkRate(i int) {
	customer := &c.config.Customers[i]
	burst := ref(Customers, i, FieldBurst)
	if customer.Rate < 0 || customer.Burst < 0 || customer.PlainTokens < 0 {
		c.add(Error, ref(Customers, i, FieldRate), "customer %q has a negative limit", customer.ID)
		return
	}
	if customer.Priority != nil && *customer.Priority < 0 {
		c.add(Error, ref(Customers, i, FieldPriority), "customer %q: the priority is negative", customer.ID)
	}
	if customer.Rate == 0 {
		if customer.Burst > 0 {
			c.add(Warning, burst, "customer %q: the burst has no effect without a rate, so the customer has no limit", customer.ID)
		}
		return
	}
	if largest, request := c.largestRequest(customer); customer.Burst < largest {
		c.add(Warning, burst, "customer %q: the burst of %s is below %s; one such request takes the whole burst and %.1f s of the rate in advance",
			customer.ID, amount(customer, customer.Burst), request, (largest-customer.Burst)/customer.Rate)
	}
	for _, name := range c.document.ServiceNames {
		if room, known := c.room(customer, name); known && customer.Burst > room {
			c.add(Warning, burst, "customer %q: the burst of %s is above the room of all endpoints of service %q, %s: this customer alone can fill it",
				customer.ID, amount(customer, customer.Burst), name, amount(customer, room))
		}
	}
}

// largestRequest returns the cost of the largest request that the configuration
// allows and describes it. A request with token counts must fit into an engine.
func (c *checker) largestRequest(customer *serving.Customer) (cost float64, description string) {
	cost, description = 1, "one request"
	if !customer.CountTokens {
		return cost, description
	}
	cost, description = float64(customer.PlainTokens), fmt.Sprintf("the cost of a request without token counts, %d tokens", customer.PlainTokens)
	for _, name := range c.document.ServiceNames {
		if engine := c.config.Services[name].Engine; engine != nil && float64(engine.KVTokens) > cost {
			cost, description = float64(engine.KVTokens), fmt.Sprintf("the largest request that an engine of service %q holds, %d tokens", name, engine.KVTokens)
		}
	}
	return cost, description
}

// room returns what all endpoints of a service hold at once in the unit of a
// customer's limit, and reports whether it is known.
func (c *checker) room(customer *serving.Customer, name string) (float64, bool) {
	service, total := c.config.Services[name], 0.0
	for _, endpoint := range c.document.Endpoints {
		switch {
		case endpoint.Service != name || endpoint.Leaving:
		case !customer.CountTokens:
			total += float64(endpoint.Slots)
		case service.Engine != nil:
			total += float64(service.Engine.KVTokens)
		}
	}
	return total, total > 0
}

// amount formats a number in the unit of a customer's limit.
func amount(customer *serving.Customer, n float64) string {
	if customer.CountTokens {
		return fmt.Sprintf("%.10g tokens", n)
	}
	return fmt.Sprintf("%.10g requests", n)
}
