// Package endpointlimit keeps the requests of all VMs to an endpoint within the
// rate that the endpoint names in its answers. One VM, the endpoint's coordinator,
// grants the requests to it one by one, so that the rate holds for any number of
// VMs and any spread of the load over them; every VM finds the same coordinator by
// hashing. Package node asks it before it sends a request to such an endpoint. The
// package is deterministic: time and messages are arguments.
//
// A coordinator that does not hear some of the VMs grants only the share of those
// that it hears, since the others may have a coordinator of their own. A VM whose
// coordinator does not answer uses its own share until there is another one. For
// endpoints that are cold, a Cold keeps a stricter bound.
package endpointlimit

import (
	"maps"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the times of a Limits.
type Config struct {
	// BurstTime is the time in which an unused rate accumulates. A bucket holds at
	// least one request.
	BurstTime time.Duration
	// Retention is how long a limit, or its end, is remembered without an answer
	// that names it.
	Retention time.Duration
	// MinDenial is the shortest time for which an endpoint is not asked for again
	// after a request to it was denied.
	MinDenial time.Duration
	// OwnShareIdle is how long a VM's own share may go unused before it starts anew,
	// so that none is saved up for the next time that a coordinator doesn't answer.
	OwnShareIdle time.Duration
	// MaxEndpoints bounds the endpoints whose limits are remembered.
	MaxEndpoints int
}

// DefaultConfig returns the times for limits of some requests a second and
// exchanges several times a second.
func DefaultConfig() Config {
	return Config{
		BurstTime:    500 * time.Millisecond,
		Retention:    time.Minute,
		MinDenial:    50 * time.Millisecond,
		OwnShareIdle: 2 * time.Second,
		MaxEndpoints: 4096,
	}
}

// limit is what an endpoint last said.
type limit struct {
	// rate is in requests a second; negative if the endpoint ended its limit.
	rate   float64
	saidAt time.Time
	// changedAt is when this VM learned of the current rate.
	changedAt time.Time
}

// bucket is a token bucket in requests.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// Limits is one VM's view of the limits that endpoints name. It is not safe for
// concurrent use.
type Limits struct {
	config Config
	limits map[ids.EndpointID]limit
	// granted are the buckets of the endpoints that this VM coordinates, and ownShare
	// those of its own share where the coordinator does not answer.
	granted, ownShare map[ids.EndpointID]*bucket
	// deniedUntil is until when no request is sent to an endpoint.
	deniedUntil map[ids.EndpointID]time.Time
	// share is the part of each limit that belongs to the VMs that this VM hears,
	// and vms the number of all VMs; 0 if it is not known.
	share float64
	vms   int
}

// New returns a Limits without limits.
func New(config Config) *Limits {
	return &Limits{
		config: config, limits: make(map[ids.EndpointID]limit), granted: make(map[ids.EndpointID]*bucket),
		ownShare: make(map[ids.EndpointID]*bucket), deniedUntil: make(map[ids.EndpointID]time.Time), share: 1,
	}
}

// SetFleet sets how many VMs this VM hears, itself included, how many others may
// be running without being heard, and the estimated size of the fleet; 0 if that is
// not known.
func (l *Limits) SetFleet(heard, unheard, size int) {
	l.share = float64(heard) / float64(heard+unheard)
	l.vms = size
}

// RecordAnswer records an answer of an endpoint, which may name a rate. It reports
// whether a limit began, changed or ended.
func (l *Limits) RecordAnswer(now time.Time, id ids.EndpointID, rate *float64) (changed bool) {
	said := limit{rate: -1, saidAt: now}
	if rate != nil {
		said.rate = *rate
	} else if _, known := l.limits[id]; !known {
		return false
	}
	return l.merge(now, id, said)
}

// merge takes over what an endpoint said if it is newer than what is known.
func (l *Limits) merge(now time.Time, id ids.EndpointID, said limit) (changed bool) {
	known, found := l.limits[id]
	if found && !said.saidAt.After(known.saidAt) {
		return false
	}
	if !found && len(l.limits) >= l.config.MaxEndpoints {
		l.expire(now)
		if len(l.limits) >= l.config.MaxEndpoints {
			return false
		}
	}
	said.changedAt = known.changedAt
	if !found || known.rate != said.rate {
		said.changedAt, changed = now, true
	}
	if said.rate < 0 {
		delete(l.deniedUntil, id)
		delete(l.granted, id)
		delete(l.ownShare, id)
	}
	l.limits[id] = said
	return changed
}

// Forget forgets the limit of an endpoint whose process is new.
func (l *Limits) Forget(id ids.EndpointID) {
	delete(l.limits, id)
	delete(l.granted, id)
	delete(l.ownShare, id)
	delete(l.deniedUntil, id)
}

// expire forgets the limits that nobody has heard of for Retention.
func (l *Limits) expire(now time.Time) {
	for id, known := range l.limits {
		if now.Sub(known.saidAt) > l.config.Retention {
			l.Forget(id)
		}
	}
}

// Rate returns the rate that an endpoint names, and whether it names one.
func (l *Limits) Rate(now time.Time, id ids.EndpointID) (float64, bool) {
	known, found := l.limits[id]
	if !found || known.rate < 0 {
		return 0, false
	}
	if now.Sub(known.saidAt) > l.config.Retention {
		l.Forget(id)
		return 0, false
	}
	return known.rate, true
}

// Grant decides, at an endpoint's coordinator, whether a request may be sent to
// it. If not, it returns the time after which one may be.
func (l *Limits) Grant(now time.Time, id ids.EndpointID) (granted bool, wait time.Duration) {
	rate, limited := l.Rate(now, id)
	if !limited {
		return true, 0
	}
	rate *= l.share
	return l.take(now, l.granted, id, rate, max(1, rate*l.config.BurstTime.Seconds()))
}

// GrantOwnShare decides whether a request may be sent to an endpoint whose
// coordinator does not answer: within this VM's own share, which accumulates from
// the first such request on.
func (l *Limits) GrantOwnShare(now time.Time, id ids.EndpointID) (granted bool, wait time.Duration) {
	rate, limited := l.Rate(now, id)
	if !limited {
		return true, 0
	}
	if b := l.ownShare[id]; b != nil && now.Sub(b.updatedAt) > l.config.OwnShareIdle {
		delete(l.ownShare, id)
	}
	if l.vms == 0 {
		return false, l.config.OwnShareIdle
	}
	return l.take(now, l.ownShare, id, rate/float64(l.vms), 1)
}

// take takes a request from a bucket, which starts empty.
func (l *Limits) take(now time.Time, buckets map[ids.EndpointID]*bucket, id ids.EndpointID, rate, capacity float64) (bool, time.Duration) {
	b := buckets[id]
	if b == nil {
		b = &bucket{updatedAt: now}
		buckets[id] = b
	}
	b.level = min(b.level+now.Sub(b.updatedAt).Seconds()*rate, capacity)
	b.updatedAt = now
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	if rate <= 0 {
		return false, maxWait
	}
	return false, min(time.Duration(math.Ceil((1-b.level)/rate*float64(time.Second))), maxWait)
}

// maxWait bounds the time after which a denied request may be granted, for limits
// close to 0.
const maxWait = 10 * time.Second

// RecordDenial records that a request to an endpoint was denied, so that no other
// is sent to it before wait has passed.
func (l *Limits) RecordDenial(now time.Time, id ids.EndpointID, wait time.Duration) {
	l.deniedUntil[id] = now.Add(max(wait, l.config.MinDenial))
}

// DeniedFor returns how long no request may be sent to an endpoint; 0 if one may
// be sent now.
func (l *Limits) DeniedFor(now time.Time, id ids.EndpointID) time.Duration {
	until, denied := l.deniedUntil[id]
	if !denied {
		return 0
	}
	if left := until.Sub(now); left > 0 {
		return left
	}
	delete(l.deniedUntil, id)
	return 0
}

// Report is a limit as VMs tell it to each other.
type Report struct {
	// Rate is in requests a second; negative if the endpoint ended its limit.
	Rate  float64 `json:"r"`
	AgeMs int64   `json:"age"`
}

// Reports returns the limits that changed since a time; all for the zero time.
func (l *Limits) Reports(now, since time.Time) map[ids.EndpointID]Report {
	l.expire(now)
	var reports map[ids.EndpointID]Report
	for id, known := range l.limits {
		if known.changedAt.Before(since) {
			continue
		}
		if reports == nil {
			reports = make(map[ids.EndpointID]Report)
		}
		reports[id] = l.report(now, known)
	}
	return reports
}

func (l *Limits) report(now time.Time, known limit) Report {
	return Report{Rate: known.rate, AgeMs: now.Sub(known.saidAt).Milliseconds()}
}

// ReportOf returns the limit of one endpoint, which must have one.
func (l *Limits) ReportOf(now time.Time, id ids.EndpointID) Report {
	return l.report(now, l.limits[id])
}

// ApplyReports merges limits that a peer told.
func (l *Limits) ApplyReports(now time.Time, reports map[ids.EndpointID]Report) {
	for id, report := range reports {
		if math.IsNaN(report.Rate) || report.AgeMs < 0 || report.AgeMs > l.config.Retention.Milliseconds() {
			continue
		}
		l.merge(now, id, limit{rate: report.Rate, saidAt: now.Add(-time.Duration(report.AgeMs) * time.Millisecond)})
	}
}

// Coordinator returns the VM that grants the requests to an endpoint, of those
// given: the one with the highest hash, which changes only if that VM goes or a VM
// with a higher one comes. It returns "" if there are none.
func Coordinator(id ids.EndpointID, vms []ids.VMID) ids.VMID {
	var coordinator ids.VMID
	var highest uint64
	for _, vm := range vms {
		if score := xxh3.HashString(string(vm) + "\x00" + string(id)); coordinator == "" || score > highest || score == highest && vm < coordinator {
			coordinator, highest = vm, score
		}
	}
	return coordinator
}

// Prune forgets the endpoints that no longer exist.
func (l *Limits) Prune(exists func(ids.EndpointID) bool) {
	for id := range maps.Clone(l.limits) {
		if !exists(id) {
			l.Forget(id)
		}
	}
	maps.DeleteFunc(l.deniedUntil, func(id ids.EndpointID, _ time.Time) bool { return !exists(id) })
}
