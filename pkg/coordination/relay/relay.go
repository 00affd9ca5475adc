// Package relay distributes configuration records and VM lists from the
// platform to every VM.
//
// Two VMs of each data centre, the watchers, watch the platform. Heartbeats
// carry digests: the revisions that a VM has and when the platform last
// confirmed them. A VM that is behind pulls the difference from a peer that
// is ahead. A VM that receives no confirmation for FallbackReadDelay reads
// the platform itself. A restarted VM adopts the newest view of its peers
// before it becomes ready, so that a stale platform cannot bring back
// withdrawn records.
//
// The package has no goroutines and no timers: the daemon passes in time and
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
	// TickInterval is how often the caller should call Tick.
	TickInterval = 100 * time.Millisecond
	// FallbackReadDelay is how long a VM that is not a watcher goes without a
	// new confirmation before it reads the platform itself.
	FallbackReadDelay = 3 * time.Second
	// fallbackReadJitter spreads the fallback reads of VMs that lost their
	// confirmations at the same time.
	fallbackReadJitter = time.Second
	// WatchWait is how long a watch waits at the platform. A confirmation
	// counts from when the watch was sent, so it is at most two waits old.
	// Including the heartbeat it stays below membership.ConfirmationTTL,
	// which is 5 s.
	WatchWait = time.Second
	// BootstrapTimeout is how long a starting VM waits for its peers. It
	// allows several tries with each of them.
	BootstrapTimeout = 5 * time.Second
	// listingJitter spreads the listings when all VMs start at once.
	listingJitter = 2 * time.Second
	// bootstrapPeerWait is how long a starting VM waits for more peers after
	// the first has answered, to find the newest view.
	bootstrapPeerWait = 500 * time.Millisecond

	// LocalTimeout bounds an exchange with a peer in the same data centre,
	// RemoteTimeout one with any other peer.
	LocalTimeout  = 250 * time.Millisecond
	RemoteTimeout = time.Second
	// MaxDeltaBytes bounds the size of one delta. A VM that is further behind
	// pulls again.
	MaxDeltaBytes = 256 << 10
	// watcherPullDelay is how long a watcher waits for its own watch to
	// deliver what a peer already has before it pulls from the peer.
	watcherPullDelay = 500 * time.Millisecond

	// The backoff between failed platform reads doubles from the first to the
	// second of these.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 4 * time.Second
)

// rules holds the protections that tests switch off to show what each one
// prevents.
type rules struct {
	// bootstrapFromPeers makes a starting VM adopt the newest view of its
	// peers before it becomes ready.
	bootstrapFromPeers bool
	// fallbackRead makes a VM that receives no confirmation read the platform
	// itself.
	fallbackRead bool
	// pull makes a VM that is behind pull from a peer.
	pull bool
}

// Config describes the VM.
type Config struct {
	// Boot identifies the run of the VM's process, which began at Start.
	Boot  ids.BootID
	Start time.Time
	// Rand is the source of jitter.
	Rand *rand.Rand
	// Seeds are peers to ask for a VM list while the VM knows no other peers,
	// because the platform has not given it a list.
	Seeds []platformapi.VM
}

// Relay keeps the records and the VM list of one VM up to date. It is safe
// for concurrent use; mu guards the fields below it.
type Relay struct {
	boot    ids.BootID
	start   time.Time
	seeds   []platformapi.VM
	members *membership.Members
	catalog *catalog.Catalog

	mu        sync.Mutex
	rules     rules
	rand      *rand.Rand
	links     map[ids.VMID]*link
	freshness recordFreshness
	// lastConfirmedAt is when a new confirmation last arrived, by the kind of
	// read that fetches the same data.
	lastConfirmedAt [numReadKinds]time.Time
	reads           [numReadKinds]readState
	// delta and list are the pulls of records and of the VM list.
	delta   pullState
	list    pullState
	startup startup
	load    uint32
	// needListing is set after the platform compacted the changes that the VM
	// needs.
	needListing bool
	// stale counts the stale answers of the platform.
	stale      uint64
	linkInputs linkInputs
}

// recordFreshness tells how old the records in the catalog are.
type recordFreshness struct {
	// confirmedAt is when the latest platform read was sent whose newest
	// revision the catalog had then or has reached since. The catalog has
	// everything that was published before, as far as the platform reported
	// it.
	confirmedAt time.Time
	// aheadRevision is the highest confirmed revision that the catalog has
	// not reached yet, and aheadConfirmedAt is when the read that confirmed
	// it was sent.
	aheadRevision    ids.Revision
	aheadConfirmedAt time.Time
}

// New returns the relay of a VM that is starting.
func New(config Config, members *membership.Members, records *catalog.Catalog) *Relay {
	r := &Relay{
		boot:    config.Boot,
		start:   config.Start,
		seeds:   config.Seeds,
		members: members,
		catalog: records,
		rules:   rules{bootstrapFromPeers: true, fallbackRead: true, pull: true},
		rand:    config.Rand,
		links:   make(map[ids.VMID]*link),
	}
	r.startup.listingNotBefore = config.Start.Add(r.jitter(listingJitter))
	r.reads[ReadVMs].notBefore = config.Start.Add(r.jitter(listingJitter / 4))
	return r
}

// Ready reports whether the VM has a complete view.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startup.ready
}

// SetLoad sets the number of open requests that heartbeats report.
func (r *Relay) SetLoad(requests uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = requests
}

// Status describes the VM's view of the records and the VM list.
type Status struct {
	Ready   bool         `json:"ready"`
	Watcher bool         `json:"watcher"`
	Records ids.Revision `json:"records"`
	List    ids.Revision `json:"list"`
	// RecordsConfirmed and ListConfirmed report whether the platform ever
	// confirmed the revisions. The ages count from the last confirmation.
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
		Records:          r.catalog.CompleteThrough(),
		List:             r.members.List().Revision,
		RecordsConfirmed: !r.freshness.confirmedAt.IsZero(),
		RecordsAge:       ageOf(now, r.freshness.confirmedAt),
		ListConfirmed:    !listAt.IsZero(),
		ListAge:          ageOf(now, listAt),
		StaleAnswers:     r.stale,
	}
}

// ViewAge returns how long ago the platform last confirmed the records in
// use; ok is false if it never did.
func (r *Relay) ViewAge(now time.Time) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ageOf(now, r.freshness.confirmedAt), !r.freshness.confirmedAt.IsZero()
}

// ageOf returns the age of a time, or 0 for the zero time.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// Tick returns the actions that are due.
func (r *Relay) Tick(now time.Time) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLinks(now)
	actions := r.tickStartup(now)
	actions = append(actions, r.tickHeartbeats(now)...)
	actions = append(actions, r.tickPulls(now)...)
	return append(actions, r.tickPlatform(now)...)
}

// confirmRecords records that a platform read sent at readSentAt returned a
// revision as the newest.
func (r *Relay) confirmRecords(now time.Time, revision ids.Revision, readSentAt time.Time) {
	if readSentAt.IsZero() {
		return
	}
	through := r.catalog.CompleteThrough()
	switch {
	case revision == through && readSentAt.After(r.freshness.confirmedAt):
		r.freshness.confirmedAt = readSentAt
		r.lastConfirmedAt[ReadRecords] = now
	case revision > through && (revision > r.freshness.aheadRevision || readSentAt.After(r.freshness.aheadConfirmedAt)):
		r.freshness.aheadRevision = revision
		r.freshness.aheadConfirmedAt = readSentAt
	}
}

// onCatalogAdvanced applies a pending confirmation if the catalog has reached
// the revision that it confirmed.
func (r *Relay) onCatalogAdvanced(now time.Time, before ids.Revision) {
	through := r.catalog.CompleteThrough()
	if through != before && through == r.freshness.aheadRevision {
		r.confirmRecords(now, through, r.freshness.aheadConfirmedAt)
	}
}

// confirmList is the counterpart of confirmRecords for the VM list.
func (r *Relay) confirmList(now time.Time, revision ids.Revision, readSentAt time.Time) {
	before := r.members.ConfirmedAt()
	if readSentAt.IsZero() {
		return
	}
	r.members.ConfirmList(revision, readSentAt)
	if r.members.ConfirmedAt().After(before) {
		r.lastConfirmedAt[ReadVMs] = now
	}
}

// jitter returns a random duration from 0 to limit.
func (r *Relay) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(limit) + 1))
}

// digest returns the revisions that the VM has and the ages of their
// confirmations.
func (r *Relay) digest(now time.Time) peer.Digest {
	return peer.Digest{
		RecordsRevision:  r.catalog.CompleteThrough(),
		RecordsAgeMillis: ageMillis(now, r.freshness.confirmedAt),
		ListRevision:     r.members.List().Revision,
		ListAgeMillis:    ageMillis(now, r.members.ConfirmedAt()),
	}
}

// ageMillis rounds an age up, so that rounding never makes a view look
// fresher. It returns -1 for the zero time.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return int64((now.Sub(at) + time.Millisecond - 1) / time.Millisecond)
}
