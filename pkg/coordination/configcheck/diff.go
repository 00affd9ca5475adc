package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

// Effect says whether callers gain or lose by a change.
type Effect string

// The effects of a change.
const (
	Gain    Effect = "gain"
	Lose    Effect = "lose"
	Neutral Effect = "neutral"
)

// Change is a difference between two configurations.
type Change struct {
	Effect Effect `json:"effect"`
	// Position is in the new document, or in the old one for a removed entry.
	Position Position `json:"position"`
	// What names the entry and the field.
	What   string `json:"what"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Callers names the callers whom the change affects.
	Callers string `json:"callers"`
	Meaning string `json:"meaning"`
}

func (c Change) String() string {
	values := ""
	if c.Before != "" || c.After != "" {
		values = fmt.Sprintf(": %s -> %s", orNone(c.Before), orNone(c.After))
	}
	return fmt.Sprintf("%s: %s: %s%s\n    %s: %s", c.Position, c.Effect, c.What, values, c.Callers, c.Meaning)
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// keyHashDigits is the length of the part of a key's hash that is shown: enough to
// tell a customer's keys apart without the whole hash, against which keys could be
// tried.
const keyHashDigits = 6

// keyName names a key without showing it.
func keyName(customer string, index int, key string) string {
	hash := sha256.Sum256([]byte(key))
	return fmt.Sprintf("key %d of customer %q (hash %s)", index+1, customer, hex.EncodeToString(hash[:])[:keyHashDigits])
}

// differ collects the changes between two documents.
type differ struct {
	before, after         Document
	beforeView, afterView *directory.View
	// beforeRoute and afterRoute find the route of a host and path.
	beforeRoute, afterRoute func(host, path string) *serving.Route
	changes                 []Change
}

// Diff returns what changes for callers when after replaces before.
func Diff(before, after Document) []Change {
	d := &differ{
		before: before, after: after,
		beforeView: directory.NewView(before.Config, nil, nil), afterView: directory.NewView(after.Config, nil, nil),
	}
	d.beforeRoute, d.afterRoute = matcher(before, d.beforeView), matcher(after, d.afterView)
	d.diffLimits()
	d.diffServices()
	d.diffRoutes()
	d.diffCustomers()
	return d.changes
}

// CheckOrder returns a finding if VMs that have before in force refuse after, or
// cannot tell the two apart.
func CheckOrder(before, after Document) []Finding {
	at := after.Position(Ref{Field: FieldVersion, Item: -1})
	switch old, next := before.Config.Version, after.Config.Version; {
	case next < old:
		return []Finding{{Severity: Error, Position: at, Problem: fmt.Sprintf("version %d is older than version %d in force: VMs refuse it", next, old)}}
	case next == old && old > 0 && len(Diff(before, after)) > 0:
		return []Finding{{Severity: Warning, Position: at, Problem: fmt.Sprintf("version %d is also the version in force, which differs", next)}}
	}
	return nil
}

func (d *differ) add(effect Effect, position Position, what, before, after, callers, meaning string) {
	d.changes = append(d.changes, Change{Effect: effect, Position: position, What: what, Before: before, After: after, Callers: callers, Meaning: meaning})
}

// subject is the entry whose fields are compared.
type subject struct {
	name, callers string
	section       Section
	index         int
}

// field adds a change if the formatted values differ.
func (d *differ) field(s subject, field Field, before, after any, effect Effect, meaning string) {
	if b, a := fmt.Sprint(before), fmt.Sprint(after); b != a {
		d.add(effect, d.after.Position(ref(s.section, s.index, field)), s.name+", "+string(field), b, a, s.callers, meaning)
	}
}

// bound adds a change of a limit that callers gain by when it rises. Zero stands
// for no limit if zeroIsUnbounded is set.
func (d *differ) bound(s subject, field Field, before, after any, beforeValue, afterValue float64, zeroIsUnbounded bool, lower, higher string) {
	if zeroIsUnbounded {
		beforeValue, afterValue = unbounded(beforeValue), unbounded(afterValue)
	}
	if afterValue < beforeValue {
		d.field(s, field, before, after, Lose, lower)
	} else {
		d.field(s, field, before, after, Gain, higher)
	}
}

func unbounded(value float64) float64 {
	if value == 0 {
		return math.Inf(1)
	}
	return value
}

// switched returns the effect of a change of something that callers gain by.
func switched(before, after bool) Effect {
	switch {
	case after && !before:
		return Gain
	case before && !after:
		return Lose
	}
	return Neutral
}

func (d *differ) diffLimits() {
	before, after := d.before.Config.Limits, d.after.Config.Limits
	s := subject{name: "limits", callers: "all callers", section: Limits}
	// VMs have a bound of their own for the size of heads, so this value changes nothing.
	d.field(s, FieldHeaderBytes, before.HeaderBytes, after.HeaderBytes, Neutral, "VMs do not apply this value")
	d.bound(s, FieldHeaderTimeout, before.HeaderTimeout, after.HeaderTimeout, float64(headerTimeout(before)), float64(headerTimeout(after)), false, "heads that arrive slowly are given up sooner", "heads may arrive more slowly")
	d.bound(s, FieldBodyBytes, before.BodyBytes, after.BodyBytes, float64(bodyBytes(before)), float64(bodyBytes(after)), false, "requests with larger bodies are refused", "larger bodies are accepted")
	d.bound(s, FieldIdleTimeout, before.IdleTimeout, after.IdleTimeout, float64(before.IdleTimeout), float64(after.IdleTimeout), true, "bodies that arrive with pauses are given up sooner", "bodies may arrive with longer pauses")
}

// headerTimeout returns the limit that VMs apply, which is at most 10 s.
func headerTimeout(limits serving.CallerLimits) time.Duration {
	const longest = 10 * time.Second
	if limits.HeaderTimeout <= 0 {
		return longest
	}
	return min(limits.HeaderTimeout, longest)
}

// bodyBytes returns the limit that VMs apply, which is 4 MB if none is stated.
func bodyBytes(limits serving.CallerLimits) int64 {
	if limits.BodyBytes <= 0 {
		return 4 << 20
	}
	return limits.BodyBytes
}

func (d *differ) diffServices() {
	for i, name := range d.after.ServiceNames {
		after, before := d.after.Config.Services[name], d.before.Config.Services[name]
		s := subject{name: fmt.Sprintf("service %q", name), callers: "callers of its routes", section: Services, index: i}
		if before == nil {
			d.add(Neutral, d.after.Position(ref(Services, i, FieldEntry)), s.name+" is added", "", "", s.callers, "it takes requests once a route names it")
			continue
		}
		d.field(s, FieldConnectionLimit, before.ConnectionLimit, after.ConnectionLimit, Neutral, "VMs do not apply this value")
		d.field(s, FieldCold, coldText(before), coldText(after), Neutral, "cold endpoints get requests at another rate")
		d.field(s, FieldEngine, engineText(before), engineText(after), Neutral, "VMs assume another size of the engines")
	}
	for i, name := range d.before.ServiceNames {
		if d.after.Config.Services[name] == nil {
			d.add(Lose, d.before.Position(ref(Services, i, FieldEntry)), fmt.Sprintf("service %q is removed", name), "", "", "callers of its routes", "routes that still name it refuse their requests")
		}
	}
}

func coldText(s *serving.Service) string { return fmt.Sprintf("%v at %g/s", s.ColdStart, s.ColdRate) }

func engineText(s *serving.Service) string {
	if s.Engine == nil {
		return ""
	}
	e := s.Engine
	var models []string
	for _, model := range e.Models {
		models = append(models, fmt.Sprintf("%s (%g MB, loads in %v, adapters of %g MB)", model.Name, model.WeightsMB, model.LoadTime, model.AdapterMB))
	}
	return fmt.Sprintf("%d requests at once, %d tokens, %d tokens an event, %d adapters, %g MB of weights, %g loads/s, models: %s",
		e.Batch, e.KVTokens, e.EventTokens, e.AdapterSlots, e.WeightsMB, e.LoadsPerSecond, strings.Join(models, ", "))
}

// effective reports whether requests can match a route.
func effective(match func(host, path string) *serving.Route, route *serving.Route) bool {
	return match(route.Host, route.PathPrefix) == route
}

// diffRoutes compares the routes by what callers see: host and path prefix.
func (d *differ) diffRoutes() {
	routes := d.after.Config.Routes
	for i := range routes {
		after := &routes[i]
		if !effective(d.afterRoute, after) {
			continue
		}
		callers := fmt.Sprintf("callers of %s%s", after.Host, after.PathPrefix)
		before := d.beforeRoute(after.Host, after.PathPrefix)
		if before == nil || !sameMatch(before, after) {
			d.add(Gain, d.after.Position(ref(Routes, i, FieldEntry)), fmt.Sprintf("route %q is added", after.ID), "", "", callers, takenFrom(before))
			continue
		}
		d.diffRoute(subject{name: fmt.Sprintf("route %q", after.ID), callers: callers, section: Routes, index: i}, before, after)
	}
	for i := range d.before.Config.Routes {
		before := &d.before.Config.Routes[i]
		next := d.afterRoute(before.Host, before.PathPrefix)
		if !effective(d.beforeRoute, before) || next != nil && sameMatch(next, before) {
			continue
		}
		meaning := "their requests are answered 404"
		if next != nil {
			meaning = fmt.Sprintf("their requests take route %q", next.ID)
		}
		d.add(Lose, d.before.Position(ref(Routes, i, FieldEntry)), fmt.Sprintf("route %q is removed", before.ID), "", "", fmt.Sprintf("callers of %s%s", before.Host, before.PathPrefix), meaning)
	}
}

func sameMatch(a, b *serving.Route) bool {
	return strings.EqualFold(a.Host, b.Host) && a.PathPrefix == b.PathPrefix
}

func takenFrom(before *serving.Route) string {
	if before == nil {
		return "their requests were answered 404"
	}
	return fmt.Sprintf("their requests took route %q", before.ID)
}

func (d *differ) diffRoute(s subject, before, after *serving.Route) {
	d.field(s, FieldName, before.ID, after.ID, Neutral, "logs and metrics show another name")
	d.field(s, FieldKind, before.Kind, after.Kind, switched(before.MayRepeat(), after.MayRepeat()), "whether a request may be sent again after a failure, or is a stream, changes")
	d.field(s, FieldSplits, splitsText(before), splitsText(after), Neutral, "their requests go to other services or in other shares")
	d.bound(s, FieldTimeout, before.Timeout, after.Timeout, float64(before.Timeout), float64(after.Timeout), true, "requests that take longer are ended", "requests may take longer")
	d.field(s, FieldObjective, before.Objective, after.Objective, Neutral, "answers count as late from another time on")
	d.field(s, FieldPauseObjective, before.PauseObjective, after.PauseObjective, Neutral, "pauses count as late from another time on")
	d.bound(s, FieldAttempts, before.Attempts, after.Attempts, float64(before.Attempts), float64(after.Attempts), false, "fewer failures are hidden by another attempt", "more failures are hidden by another attempt")
	d.bound(s, FieldPriority, before.Priority, after.Priority, -float64(before.Priority), -float64(after.Priority), false, "their requests give way to more others", "their requests go before more others")
	d.field(s, FieldOpen, before.Open, after.Open, switched(before.Open, after.Open), "whether callers without a key are served changes")
	d.field(s, FieldResumable, before.Resumable, after.Resumable, switched(before.Resumable, after.Resumable), "whether an interrupted stream can continue changes")
}

func splitsText(route *serving.Route) string {
	var parts []string
	for _, split := range route.Splits {
		parts = append(parts, fmt.Sprintf("%s x %g", split.Service, split.Weight))
	}
	return strings.Join(parts, ", ")
}

func (d *differ) diffCustomers() {
	for i := range d.after.Config.Customers {
		after := &d.after.Config.Customers[i]
		s := subject{name: fmt.Sprintf("customer %q", after.ID), callers: fmt.Sprintf("callers of customer %q", after.ID), section: Customers, index: i}
		before := findCustomer(d.before.Config, after)
		if before == nil {
			d.add(Gain, d.after.Position(ref(Customers, i, FieldEntry)), s.name+" is added", "", limitText(after), s.callers, fmt.Sprintf("%d keys are accepted", len(after.Keys)))
			continue
		}
		d.diffCustomer(s, before, after)
	}
	for i := range d.before.Config.Customers {
		before := &d.before.Config.Customers[i]
		if after := findCustomer(d.after.Config, before); after == nil {
			d.add(Lose, d.before.Position(ref(Customers, i, FieldEntry)), fmt.Sprintf("customer %q is removed", before.ID), limitText(before), "", fmt.Sprintf("callers of customer %q", before.ID), "requests with its keys are answered 401, except on open routes")
		} else {
			d.diffRemovedKeys(i, before)
		}
	}
}

func findCustomer(config *serving.Config, like *serving.Customer) *serving.Customer {
	index := slices.IndexFunc(config.Customers, func(c serving.Customer) bool { return c.ID == like.ID })
	if index < 0 {
		return nil
	}
	return &config.Customers[index]
}

func (d *differ) diffCustomer(s subject, before, after *serving.Customer) {
	for j, key := range after.Keys {
		owner := d.beforeView.CustomerByKey(key)
		if key == "" || owner != nil && owner.ID == after.ID {
			continue
		}
		meaning := "requests with this key are accepted"
		if owner != nil {
			meaning = fmt.Sprintf("this key was a key of customer %q", owner.ID)
		}
		at := Ref{Section: Customers, Index: s.index, Field: FieldKeys, Item: j}
		d.add(Gain, d.after.Position(at), keyName(string(after.ID), j, key)+" is added", "", "", s.callers, meaning)
	}
	beforePriority, afterPriority := priorityText(before), priorityText(after)
	effect := Neutral
	if before.Priority != nil && after.Priority != nil {
		effect = switched(*after.Priority > *before.Priority, *after.Priority < *before.Priority)
	}
	d.field(s, FieldPriority, beforePriority, afterPriority, effect, "their requests rank differently against others")
	if before.CountTokens != after.CountTokens {
		d.field(s, FieldUnit, limitText(before), limitText(after), Neutral, "the limit counts in another unit, so the figures cannot be compared")
		return
	}
	d.bound(s, FieldRate, before.Rate, after.Rate, before.Rate, after.Rate, true, "more of their requests are answered 429", "fewer of their requests are answered 429")
	d.bound(s, FieldBurst, before.Burst, after.Burst, before.Burst, after.Burst, false, "fewer requests at once are accepted", "more requests at once are accepted")
	d.bound(s, FieldPlainTokens, before.PlainTokens, after.PlainTokens, -float64(before.PlainTokens), -float64(after.PlainTokens), false, "requests without token counts cost more", "requests without token counts cost less")
}

// diffRemovedKeys adds the keys of a customer that another one has now or none.
func (d *differ) diffRemovedKeys(i int, before *serving.Customer) {
	for j, key := range before.Keys {
		// Nobody owns an empty key.
		if owner := d.beforeView.CustomerByKey(key); owner == nil || owner.ID != before.ID {
			continue
		}
		owner := d.afterView.CustomerByKey(key)
		if owner != nil && owner.ID == before.ID {
			continue
		}
		meaning := "requests with this key are answered 401, except on open routes"
		if owner != nil {
			meaning = fmt.Sprintf("this key is a key of customer %q now", owner.ID)
		}
		at := Ref{Section: Customers, Index: i, Field: FieldKeys, Item: j}
		d.add(Lose, d.before.Position(at), keyName(string(before.ID), j, key)+" is removed", "", "", fmt.Sprintf("callers of customer %q", before.ID), meaning)
	}
}

func priorityText(c *serving.Customer) string {
	if c.Priority == nil {
		return "that of the route"
	}
	return fmt.Sprint(*c.Priority)
}

func limitText(c *serving.Customer) string {
	if c.Rate == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%s a second, burst %s", amount(c, c.Rate), amount(c, c.Burst))
}
