// Package relay brings configuration records and VM lists from the platform to
// every VM.
//
// Two VMs of each data centre watch the platform. Heartbeats carry digests of
// what a VM holds and when the platform last confirmed it; a VM that is behind
// pulls the difference from the peer that is ahead. A VM that hears no
// confirmation for QuietTerm reads the platform itself. A restarted VM takes
// the highest view of its peers before it is ready, so that a stale platform
// cannot bring back what was withdrawn.
//
// Relay keeps no goroutines and no timers: the caller passes time and
// messages, carries out the returned actions and reports their results.
package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

const (
	// TickInterval is how often Tick should be called.
	TickInterval = 100 * time.Millisecond
	// QuietTerm is how long a VM does without hearing a new confirmation
	// before it reads the platform itself.
	QuietTerm = 3 * time.Second
	// quietJitter spreads the reads of VMs that became quiet at once.
	quietJitter = time.Second
	// WatchWait is how long a watch waits at the platform. A confirmation
	// counts from when the watch was sent, so it is two waits old at most;
	// with the heartbeat on top it stays below the authority term of 5 s.
	WatchWait = time.Second
	// BootstrapTimeout is how long a starting VM waits for its peers: several
	// tries at each of them.
	BootstrapTimeout = 5 * time.Second
	// bootstrapJitter spreads the listings when all VMs start at once.
	bootstrapJitter = 2 * time.Second
	// bootstrapSettle is how long a starting VM waits for further peers once
	// one has answered, to find the highest view.
	bootstrapSettle = 500 * time.Millisecond

	// TimeoutNear and TimeoutFar bound an exchange inside a region and across
	// regions.
	TimeoutNear = 250 * time.Millisecond
	TimeoutFar  = time.Second
	// MaxDeltaBytes bounds one delta; a VM that is further behind pulls again.
	MaxDeltaBytes = 256 << 10
	// watcherPatience is how long a watcher waits for its own watch to bring
	// what a peer already has, before it pulls.
	watcherPatience = 500 * time.Millisecond

	backoffFirst = 250 * time.Millisecond
	backoffLast  = 4 * time.Second
)

// rules can be switched off by tests to show what each of them prevents.
type rules struct {
	// bootstrapFromPeers lets a starting VM take its peers' highest view
	// before it is ready.
	bootstrapFromPeers bool
	// quietRead lets a VM that hears nothing read the platform itself.
	quietRead bool
	// pull lets a VM that is behind pull from a peer.
	pull bool
}

// Config tells who the VM is.
type Config struct {
	Boot  ids.BootID
	Start time.Time
	// Rand gives the jitter.
	Rand *rand.Rand
	// Seeds are peers to ask for a VM list when the platform gives none.
	Seeds []platformapi.VM
}

// Relay is the relay of one VM. Its methods may be called from any goroutine.
type Relay struct {
	boot    ids.BootID
	start   time.Time
	seeds   []platformapi.VM
	members *membership.Members
	catalog *catalog.Catalog

	mu       sync.Mutex
	rules    rules
	rand     *rand.Rand
	links    map[ids.VMID]*link
	records  freshness
	quiet    [readKinds]time.Time
	reads    [readKinds]read
	delta    pull
	list     pull
	startup  startup
	load     uint32
	compact  bool
	stale    uint64
	topology topology
}

// freshness is what is known of the age of the catalog.
type freshness struct {
	// confirmedAt is when the platform read was sent that returned a revision
	// as the newest which the catalog then had or reached since: the catalog
	// has all that was published before, as far as the platform told.
	confirmedAt time.Time
	// aheadRevision and aheadAt are the same for the highest revision that a
	// peer confirmed and the catalog has not reached yet.
	aheadRevision ids.Revision
	aheadAt       time.Time
}

// New returns the relay of a VM that starts now.
func New(config Config, members *membership.Members, records *catalog.Catalog) *Relay {
	r := &Relay{
		boot:    config.Boot,
		start:   config.Start,
		seeds:   config.Seeds,
		members: members,
		catalog: records,
		rules:   rules{bootstrapFromPeers: true, quietRead: true, pull: true},
		rand:    config.Rand,
		links:   make(map[ids.VMID]*link),
	}
	r.startup.listingAt = config.Start.Add(r.jitter(bootstrapJitter))
	r.reads[ReadVMs].notBefore = config.Start.Add(r.jitter(bootstrapJitter / 4))
	return r
}

// Ready tells whether the VM has a complete view.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startup.ready
}

// SetLoad sets the number of requests that heartbeats report.
func (r *Relay) SetLoad(requests uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = requests
}

// Status describes the VM's view.
type Status struct {
	Ready   bool         `json:"ready"`
	Watcher bool         `json:"watcher"`
	Records ids.Revision `json:"records"`
	List    ids.Revision `json:"list"`
	// RecordsConfirmed and ListConfirmed tell whether the platform ever
	// confirmed the revisions; the ages count from the last confirmation.
	RecordsConfirmed bool          `json:"recordsConfirmed"`
	RecordsAge       time.Duration `json:"recordsAge"`
	ListConfirmed    bool          `json:"listConfirmed"`
	ListAge          time.Duration `json:"listAge"`
	// StaleAnswers counts platform answers that were older than what the VM
	// had when it asked.
	StaleAnswers uint64 `json:"staleAnswers"`
}

// Status returns the state of the VM's view.
func (r *Relay) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	listAt := r.members.ConfirmedAt()
	return Status{
		Ready:            r.startup.ready,
		Watcher:          r.members.IsWatcher(),
		Records:          r.catalog.Through(),
		List:             r.members.List().Revision,
		RecordsConfirmed: !r.records.confirmedAt.IsZero(),
		RecordsAge:       ageOf(now, r.records.confirmedAt),
		ListConfirmed:    !listAt.IsZero(),
		ListAge:          ageOf(now, listAt),
		StaleAnswers:     r.stale,
	}
}

// ViewAge returns how long ago the platform last confirmed the records in
// force; ok is false when it never did.
func (r *Relay) ViewAge(now time.Time) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ageOf(now, r.records.confirmedAt), !r.records.confirmedAt.IsZero()
}

func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// Tick returns what is due.
func (r *Relay) Tick(now time.Time) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLinks(now)
	actions := r.tickStartup(now)
	actions = append(actions, r.tickHeartbeats(now)...)
	actions = append(actions, r.tickPulls(now)...)
	return append(actions, r.tickPlatform(now)...)
}

// confirmRecords notes that the platform returned a revision as the
// newest to a read sent at a moment.
func (r *Relay) confirmRecords(now time.Time, revision ids.Revision, at time.Time) {
	if at.IsZero() {
		return
	}
	through := r.catalog.Through()
	switch {
	case revision == through && at.After(r.records.confirmedAt):
		r.records.confirmedAt = at
		r.quiet[ReadRecords] = now
	case revision > through && (revision > r.records.aheadRevision || at.After(r.records.aheadAt)):
		r.records.aheadRevision = revision
		r.records.aheadAt = at
	}
}

// advanced takes a change of the catalog's revision, which may have reached
// what a peer confirmed.
func (r *Relay) advanced(now time.Time, before ids.Revision) {
	through := r.catalog.Through()
	if through != before && through == r.records.aheadRevision {
		r.confirmRecords(now, through, r.records.aheadAt)
	}
}

// confirmList is confirmRecords for the VM list.
func (r *Relay) confirmList(now time.Time, revision ids.Revision, at time.Time) {
	before := r.members.ConfirmedAt()
	if at.IsZero() {
		return
	}
	r.members.ConfirmList(revision, at)
	if r.members.ConfirmedAt().After(before) {
		r.quiet[ReadVMs] = now
	}
}

// jitter returns a random time from 0 to limit.
func (r *Relay) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(limit) + 1))
}

// digest describes what the VM holds.
func (r *Relay) digest(now time.Time) peer.Digest {
	return peer.Digest{
		Records:          r.catalog.Through(),
		RecordsAgeMillis: ageMillis(now, r.records.confirmedAt),
		List:             r.members.List().Revision,
		ListAgeMillis:    ageMillis(now, r.members.ConfirmedAt()),
	}
}

// ageMillis rounds an age up, so that rounding never makes a view fresher.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return int64((now.Sub(at) + time.Millisecond - 1) / time.Millisecond)
}
