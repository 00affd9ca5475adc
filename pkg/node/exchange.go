package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/authority"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointlimit"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/quarantine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Timings of the exchanges between VMs. Four exchanges fit into the time after
// which a member is considered silent.
const (
	exchangeInterval = 250 * time.Millisecond
	// leafExchangeInterval replaces exchangeInterval at leaves, of which one
	// relay may have many.
	leafExchangeInterval = 350 * time.Millisecond
	exchangeTimeout      = 600 * time.Millisecond
	// streamPausesInterval is the minimum interval between messages to a peer
	// that include the counts of late streams, which change slowly.
	streamPausesInterval = time.Second
	deltaTimeout         = 1500 * time.Millisecond
	// stallThreshold is the time between two rounds of the exchange loop above
	// which the process is considered to have been stalled.
	stallThreshold = 700 * time.Millisecond
)

// relayLoadTolerance is the load difference below which endpoints are
// considered equally loaded while loads are passed on by relays. About that
// many requests reach an endpoint in the meantime.
const relayLoadTolerance = 1.5

// Methods that VMs call on each other.
const (
	methodExchange    = "node.exchange"
	methodDelta       = "node.delta"
	methodEnsure      = "node.ensure"
	methodPrefill     = "node.begin"
	methodPrefillDone = "node.started"
	methodRequestEnds = "node.ended"
	methodGrant       = "node.grant"
	methodColdGrant   = "node.coldgrant"
)

// stateMessage is the state that a VM sends to a peer several times a second.
type stateMessage struct {
	fleet.Announcement
	// Roster lists the members that a relay considers alive. RosterSeen is the
	// version of the receiver's roster that the sender has.
	Roster     fleet.Roster `json:"roster"`
	RosterSeen uint64       `json:"rosterSeen,omitempty"`
	// Through is the store revision that the VM has applied. ProofAgeMs is the
	// age of the proof that it is current; negative if there is none.
	Through ids.Revision `json:"through"`
	// Digest identifies the records at Through by their content. A receiver with the
	// same records needs no delta to reach Through.
	Digest     uint64 `json:"digest"`
	ProofAgeMs int64  `json:"proof"`
	eraState
	// SentMs is the sender's uptime by its boot time when it sent the message. Echo returns that
	// of the receiver's last message, so that the receiver knows since when this
	// message may have been on its way.
	SentMs int64             `json:"sent,omitempty"`
	Echo   *messageSendTime  `json:"echo,omitempty"`
	Claims []authority.Claim `json:"claims,omitempty"`
	// HighestFence is the highest fencing token that the sender knows of.
	HighestFence ids.FencingToken `json:"fence,omitempty"`
	// Contact is sent if engines check no fencing tokens.
	Contact *authority.ContactState `json:"contact,omitempty"`
	// RelayedClaims are the claims of the other VMs. A relay sends them to its
	// leaves.
	RelayedClaims []authority.HolderClaims `json:"holdings,omitempty"`
	// Totals, ActiveAdapters and the endpoint state in balance.PeerReport cover the
	// sender and its leaves. If the receiver is a leaf of the sender, they
	// cover all VMs but the receiver.
	Totals caps.Totals `json:"totals,omitempty"`
	// Fleet is set if they cover all VMs.
	Fleet bool `json:"fleet,omitempty"`
	balance.PeerReport
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
	// Limits are the limits that endpoints name, those that changed recently or
	// all of them.
	Limits map[ids.EndpointID]endpointlimit.Report `json:"limits,omitempty"`
	// Cold are the endpoints that have said in an answer that they are cold.
	Cold map[ids.EndpointID]endpointlimit.ColdReport `json:"cold,omitempty"`
	// Kinds are the sender's counts of timely requests by service, as room.Kinds.Counts
	// returns them, sent to VMs that send orders to engines.
	Kinds map[string][]int `json:"kinds,omitempty"`
	// Departures are the endpoints that have said that they leave, with the starts of
	// their processes: those learned recently or all.
	Departures  map[ids.EndpointID]int64 `json:"departures,omitempty"`
	AdapterUses map[string]float64       `json:"uses,omitempty"`
	// ActiveAdapters are the adapters with open requests, sent to VMs that send
	// orders to engines.
	ActiveAdapters []string                          `json:"active,omitempty"`
	TablesSeen     uint64                            `json:"seen,omitempty"`
	Tables         map[ids.EndpointID]publishedTable `json:"tables,omitempty"`
	// EngineLoads are the loads of engines that their owners published recently.
	EngineLoads map[ids.EndpointID]publishedLoad `json:"engineLoads,omitempty"`
	// Tables holds the tables that changed after the sender's change count
	// TablesSince and up to TableChanges, which counts from the sender's start.
	TablesSince  uint64 `json:"tablesSince,omitempty"`
	TableChanges uint64 `json:"tablesAt,omitempty"`
}

// messageSendTime identifies a message by the run of its sender's process and by
// its uptime.
type messageSendTime struct {
	Boot   ids.BootID `json:"boot"`
	SentMs int64      `json:"sent"`
}

// messageScope selects the state that a message carries besides the
// announcement, the claims and the proof.
type messageScope int

const (
	// scopeSubtree covers the VM and its leaves.
	scopeSubtree messageScope = iota
	// scopeFleet covers all VMs, for messages from a relay to its leaf.
	scopeFleet
)

type deltaRequest struct {
	After ids.Revision `json:"after"`
	Era   ids.Era      `json:"era,omitempty"`
	// Listing asks for all records.
	Listing bool `json:"listing,omitempty"`
}

func (n *Node) registry() *peers.Registry {
	registry := peers.NewRegistry()
	peers.Handle(registry, methodExchange, n.handleExchange)
	peers.Handle(registry, methodDelta, n.handleDelta)
	peers.Handle(registry, methodEnsure, n.handleEnsure)
	peers.Handle(registry, methodPrefill, n.handlePrefill)
	peers.Handle(registry, methodPrefillDone, n.handlePrefillDone)
	peers.Handle(registry, methodRequestEnds, n.handleRequestEnds)
	peers.Handle(registry, methodGrant, n.handleGrant)
	peers.Handle(registry, methodColdGrant, n.handleColdGrant)
	return registry
}

// exchangeLoop exchanges state with the peers until ctx ends.
func (n *Node) exchangeLoop(ctx context.Context) {
	last := n.bootTime()
	for ctx.Err() == nil {
		now, current := time.Now(), n.bootTime()
		if gap := current.Sub(last); gap > stallThreshold {
			n.lastStallEnd.Store(now.UnixNano())
			n.logInfo("process was stalled", fields{"gapMs": gap.Milliseconds()})
			n.membersMu.Lock()
			n.authority.Suspend(now)
			n.membersMu.Unlock()
		}
		last = current
		n.expireRetained()
		n.exchangeRound(ctx, now)
		plan := n.updateClaims(time.Now())
		interval := exchangeInterval
		if !plan.Relay {
			interval = leafExchangeInterval
		}
		n.wakeExchange.wait(ctx, interval+time.Duration(rand.Int64N(int64(interval/5))))
	}
}

// exchangeRound calls all targets without waiting for the replies.
func (n *Node) exchangeRound(ctx context.Context, now time.Time) {
	n.membersMu.Lock()
	chooseTargets := n.fleet.Targets
	if n.exchangeWithAll.Swap(false) {
		chooseTargets = n.fleet.UrgentTargets
	}
	targets := chooseTargets(now)
	addresses := make(map[ids.VMID]string)
	for _, id := range n.fleet.MemberIDs() {
		addresses[id] = string(id)
	}
	n.membersMu.Unlock()
	n.peers.SetPeers(addresses)
	n.lastSent.forgetOthers(addresses)
	n.maintainQuarantine(addresses)
	n.forgetLimitPeers(addresses)
	n.forgetKindPeers(addresses)
	n.pruneDepartures(now, addresses)
	n.pruneHolds(now)
	for _, id := range targets {
		if n.peerCalls.tryBegin(id) {
			go func() {
				defer n.peerCalls.end(id)
				n.exchangeWithPeer(ctx, id)
			}()
		}
	}
}

func (n *Node) exchangeWithPeer(ctx context.Context, id ids.VMID) {
	asked, now := n.bootTime(), time.Now()
	message := n.buildMessage(now, id, scopeSubtree)
	message.TablesSince = n.adapterIndex.changesSeenBy(id)
	owned := n.engineOwner.ownedEngines()
	message.Tables, message.TableChanges = n.adapterIndex.tablesSince(now, message.TablesSince, owned)
	message.EngineLoads = n.publishedLoads(now, owned)
	reply, err := peers.Call[stateMessage](ctx, n.peers, id, methodExchange, exchangeTimeout, message)
	if err != nil {
		n.countPeerFailure(id, err)
		return
	}
	n.applyFromPeer(time.Now(), reply)
	n.catchUpFromPeer(ctx, asked, id, reply)
}

// catchUpFromPeer fetches the store changes that a peer has and this VM lacks,
// and adopts the peer's proof that the configuration is current. asked is a boot
// time before the peer sent its message.
func (n *Node) catchUpFromPeer(ctx context.Context, asked time.Time, id ids.VMID, reply stateMessage) {
	if n.lacks(reply) && !n.fetchChanges(ctx, id) {
		return
	}
	n.checkCopy(reply)
	if !n.coversPeer(reply) {
		return
	}
	if reply.EraAgeMs != nil {
		n.mirror.LearnEraAge(n.bootTime(), reply.Era, *reply.EraAgeMs)
	}
	if reply.ProofAgeMs >= 0 {
		n.proofMu.Lock()
		n.proof.ConfirmFromPeer(asked, time.Duration(reply.ProofAgeMs)*time.Millisecond, reply.Through, n.mirror.CompleteThrough())
		n.proofMu.Unlock()
	}
}

// fetchChanges fetches and applies the store changes that a peer has and this VM
// lacks, or all records if the changes are not enough. It reports whether this VM
// has all of them then.
func (n *Node) fetchChanges(ctx context.Context, id ids.VMID) bool {
	for _, listing := range []bool{false, true} {
		position := n.mirror.Position()
		delta, err := peers.Call[mirror.Delta](ctx, n.peers, id, methodDelta, deltaTimeout, deltaRequest{After: position.Revision, Era: position.Era, Listing: listing})
		if err != nil {
			n.countPeerFailure(id, err)
			return false
		}
		if n.applyPeerDelta(delta, "peer "+string(id)) {
			return true
		}
		n.logInfo("changes of a peer are not enough", fields{"peer": id, "after": position.Revision, "through": delta.Through, "era": delta.Era, "listing": listing})
	}
	return false
}

func (n *Node) handleExchange(_ context.Context, _ peers.Sender, request stateMessage) (stateMessage, error) {
	now := time.Now()
	n.applyFromPeer(now, request)
	n.catchUpFromRequest(request)
	if request.Relay && request.Loads == nil {
		n.callOlderVM(request.ID)
	}
	n.membersMu.Lock()
	plan := n.fleet.Plan(now)
	n.membersMu.Unlock()
	detail, include := scopeSubtree, n.engineOwner.ownedEngines()
	if plan.Relay && !request.Relay {
		detail, include = scopeFleet, func(ids.EndpointID) bool { return true }
	}
	reply := n.buildMessage(now, request.ID, detail)
	reply.TablesSince = request.TablesSeen
	reply.Tables, reply.TableChanges = n.adapterIndex.tablesSince(now, request.TablesSeen, include)
	reply.EngineLoads = n.publishedLoads(now, include)
	return reply, nil
}

// catchUpFromRequest is catchUpFromPeer for a message that this VM did not ask
// for. The message may have been on its way for long; only what it echoes shows
// that it was sent after an earlier message of this VM.
func (n *Node) catchUpFromRequest(request stateMessage) {
	if request.Echo == nil || request.Echo.Boot != n.boot || !n.peerCalls.tryBegin(request.ID) {
		return
	}
	asked := n.bootTimeAtStart.Add(time.Duration(request.Echo.SentMs) * time.Millisecond)
	go func() {
		defer n.peerCalls.end(request.ID)
		n.catchUpFromPeer(n.ctx, asked, request.ID, request)
	}()
}

// callOlderVM calls a relay of an older version, which sends its loads and
// totals only in replies.
func (n *Node) callOlderVM(id ids.VMID) {
	if !n.peerCalls.tryBegin(id) {
		return
	}
	go func() {
		defer n.peerCalls.end(id)
		n.exchangeWithPeer(n.ctx, id)
	}()
}

func (n *Node) handleDelta(_ context.Context, _ peers.Sender, request deltaRequest) (mirror.Delta, error) {
	return n.mirror.ChangesSince(n.bootTime(), mirror.Position{Era: request.Era, Revision: request.After}, request.Listing), nil
}

// buildMessage returns the VM's state as a message for a peer.
func (n *Node) buildMessage(now time.Time, to ids.VMID, scope messageScope) stateMessage {
	s := stateMessage{ProofAgeMs: -1, TablesSeen: n.adapterIndex.seenChanges(to), SentMs: n.bootTime().Sub(n.bootTimeAtStart).Milliseconds(), Echo: n.lastSent.get(to)}
	n.proofMu.Lock()
	status := n.mirror.Status()
	s.Through, s.Digest, s.eraState = status.Revision, status.Digest, n.eraState(status)
	if age, proven := n.proof.Age(n.bootTime()); proven {
		s.ProofAgeMs = age.Milliseconds() + 1
	}
	n.proofMu.Unlock()
	n.membersMu.Lock()
	s.Announcement = n.fleet.Self(now)
	s.Roster, s.RosterSeen = n.fleet.Roster(now, to), n.fleet.RosterSeen(to)
	leaves, orders := n.fleet.Leaves(now), n.fleet.OrdersEngines(to)
	s.Claims, s.HighestFence, s.Contact = n.authority.Claims(), n.authority.HighestFence(), n.authority.ContactState(now)
	if scope == scopeFleet {
		s.RelayedClaims = n.authority.ClaimsByHolder()
	}
	n.membersMu.Unlock()
	s.Quarantine = n.buildQuarantineMessage(to)
	s.Limits = n.limitReports(now, to)
	s.Cold = n.coldReports(now)
	s.Departures = n.departureReport(now, to)
	if orders {
		s.Kinds = n.kindCounts(now, to)
	}
	s.AdapterUses = n.adapterIndex.takeUses(to)
	n.addUsageAndLoads(now, &s, to, scope, leaves)
	if orders || !s.Relay {
		s.ActiveAdapters = n.engineOwner.activeNames(now, func(vm ids.VMID) bool { return leaves[vm] && vm != to })
	}
	return s
}

// addUsageAndLoads adds the customer totals, loads and stream pauses to a
// message.
func (n *Node) addUsageAndLoads(now time.Time, s *stateMessage, to ids.VMID, detail messageScope, leaves map[ids.VMID]bool) {
	include := func(vm ids.VMID) bool { return vm != to && (detail == scopeFleet || leaves[vm]) }
	n.capsMu.Lock()
	s.Fleet = detail == scopeFleet
	if s.Fleet {
		s.Totals = n.caps.TotalsForLeaf(to)
	} else {
		s.Totals = n.caps.LocalTotals()
	}
	n.capsMu.Unlock()
	n.balanceMu.Lock()
	s.Loads, s.Outcomes = n.balancer.Loads(now, include), n.balancer.Outcomes(now, include)
	if now.Sub(n.pausesSentAt[to]) >= streamPausesInterval {
		n.pausesSentAt[to] = now
		s.Pauses = n.balancer.Pauses(now, include)
	}
	n.balanceMu.Unlock()
}

// applyFromPeer applies the state that a peer sent.
func (n *Node) applyFromPeer(now time.Time, s stateMessage) {
	n.lastSent.record(s.ID, messageSendTime{Boot: s.Boot, SentMs: s.SentMs})
	restarted, plan, owners := n.applyMember(now, s)
	if restarted {
		n.logInfo("member started or restarted", fields{"peer": s.ID, "boot": s.Boot, "dataCentre": s.DataCentre, "uptimeMs": s.UptimeMs, "relay": s.Relay})
	}
	leaf := plan.Relay && !s.Relay
	n.applyQuarantineMessage(s, leaf)
	n.applyLimitReports(now, s.ID, restarted, s.Limits)
	n.applyColdReports(now, s.ID, s.Cold)
	n.applyDepartures(now, s.ID, restarted, s.Departures)
	n.applyUsageAndLoads(now, s, leaf)
	n.applyKindCounts(now, s)
	n.engineOwner.recordUses(now, s.AdapterUses)
	if leaf && len(s.AdapterUses) > 0 {
		n.adapterIndex.addUses(s.AdapterUses, owners)
	}
	n.engineOwner.setActiveAdapters(now, s.ID, s.ActiveAdapters)
	n.adapterIndex.applyFromPeer(now, s.ID, s.Boot, s.Tables, s.TablesSince, s.TableChanges)
	n.adapterIndex.recordSeenBy(s.ID, s.TablesSeen)
	n.applyPublishedLoads(now, s.EngineLoads)
}

// applyMember applies what a message says of its sender and of other members. It
// reports whether the sender is new or has restarted, and returns this VM's plan
// and the VMs that order engines.
func (n *Node) applyMember(now time.Time, s stateMessage) (restarted bool, plan fleet.Plan, owners []ids.VMID) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	restarted = n.fleet.ApplyAnnouncement(now, s.Announcement)
	n.fleet.ApplyRoster(now, s.Announcement, s.Roster, s.RosterSeen)
	plan = n.fleet.Plan(now)
	n.authority.ObserveFence(s.HighestFence)
	n.authority.ApplyClaims(now, s.ID, s.Boot, s.Claims)
	n.authority.RefreshHolder(now, s.ID)
	n.authority.ApplyContactState(now, s.Contact)
	if s.Echo != nil && s.Echo.Boot == n.boot {
		n.authority.Confirm(s.ID, now.Add(n.bootTimeAtStart.Add(time.Duration(s.Echo.SentMs)*time.Millisecond).Sub(n.bootTime())))
	}
	if s.ID == plan.HomeRelay {
		n.authority.ApplyRelayedClaims(now, s.ID, s.RelayedClaims)
	}
	return restarted, plan, n.authority.Holders()
}

// applyUsageAndLoads applies the customer totals, loads and stream pauses of a
// message. leaf is set if the sender is a leaf of this VM.
func (n *Node) applyUsageAndLoads(now time.Time, s stateMessage, leaf bool) {
	report := caps.Report{Boot: s.Boot, Uptime: time.Duration(s.UptimeMs) * time.Millisecond, Totals: s.Totals, Leaf: leaf, Fleet: s.Fleet}
	func() {
		n.capsMu.Lock()
		defer n.capsMu.Unlock()
		n.caps.ApplyReport(now, s.ID, report)
	}()
	if s.Loads == nil {
		return
	}
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.ApplyPeerReport(now, s.ID, s.PeerReport)
}

// updateClaims updates the claims and everything that depends on the number of
// members, and returns the plan of the fleet.
func (n *Node) updateClaims(now time.Time) fleet.Plan {
	n.membersMu.Lock()
	alive := n.fleet.Alive(now)
	silent := n.fleet.Suspected(now)
	candidates := make([]authority.Candidate, 0, len(alive))
	for _, m := range alive {
		candidates = append(candidates, authority.Candidate{ID: m.ID, DataCentre: m.DataCentre, Boot: m.Boot, Started: m.Started, Leaving: m.Leaving, Cores: m.Cores})
	}
	before := len(n.authority.Claims())
	if n.fleet.Plan(now).Mesh || now.Sub(n.startedAt) >= claimDelayWithRelays || n.draining.Load() {
		n.authority.Tick(now, now, n.draining.Load(), n.settings.DataCentres, candidates)
	}
	claims := n.authority.Claims()
	n.fleet.SetSelf(n.draining.Load(), len(claims) > 0)
	plan, size := n.fleet.Plan(now), n.fleet.EstimatedSize(now, n.settings.DataCentres)
	unheard := 0
	if !n.settings.FirstStart {
		unheard = n.fleet.UnheardVMs(now, n.settings.DataCentres)
	}
	rankChanged := plan.PlatformReadRank != n.lastPlan.PlatformReadRank
	roleChanged := plan.Relay != n.lastPlan.Relay || plan.HomeRelay != n.lastPlan.HomeRelay
	n.lastPlan = plan
	n.membersMu.Unlock()
	if len(claims) != before {
		n.logInfo("claims changed", fields{"claims": claims, "alive": len(alive), "silent": len(silent)})
		n.wakeOwner.wake()
	}
	if rankChanged {
		n.wakeStoreReader.wake()
	}
	if roleChanged {
		jitter := 0.0
		if !plan.Mesh {
			jitter = relayLoadTolerance
		}
		settle := quarantine.DefaultConfig().SettleTime
		if !plan.Relay {
			settle = leafQuarantineSettle
		}
		n.balanceMu.Lock()
		n.balancer.SetJitter(jitter)
		n.balanceMu.Unlock()
		n.quarantineMu.Lock()
		n.quarantine.SetSettleTime(settle)
		n.quarantineMu.Unlock()
		n.logInfo("exchange role changed", fields{"relay": plan.Relay, "home": plan.HomeRelay, "alive": len(alive), "silent": len(silent)})
	}
	n.capsMu.Lock()
	n.caps.SetReachable(len(alive)+1, len(silent)+unheard)
	n.capsMu.Unlock()
	n.limitsMu.Lock()
	n.limits.SetFleet(len(alive)+1, len(silent)+unheard, size)
	n.limitsMu.Unlock()
	n.fleetSize.Store(int64(size))
	n.maintainCold(now, len(alive)+1, len(silent)+unheard, size)
	n.maintainPace(now, size)
	return plan
}

// lastSentTimes holds the send time of the last message of each peer.
type lastSentTimes struct {
	mu     sync.Mutex
	byPeer map[ids.VMID]messageSendTime
}

// record keeps the later of two send times of one run, since messages may
// overtake each other.
func (l *lastSentTimes) record(peer ids.VMID, sent messageSendTime) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.byPeer[peer]; last.Boot != sent.Boot || last.SentMs < sent.SentMs {
		l.byPeer[peer] = sent
	}
}

// forgetOthers removes the peers that are not among the given ones.
func (l *lastSentTimes) forgetOthers(peers map[ids.VMID]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byPeer, func(id ids.VMID, _ messageSendTime) bool { _, known := peers[id]; return !known })
}

// get returns nil if the peer has not sent a message yet.
func (l *lastSentTimes) get(peer ids.VMID) *messageSendTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.byPeer[peer]
	if !known {
		return nil
	}
	return &last
}

// peerCallCounter limits the number of concurrent exchange calls to each peer.
type peerCallCounter struct {
	mu   sync.Mutex
	open map[ids.VMID]int
}

// maxOpenCallsPerPeer allows a second call while the first one hangs on a lost
// connection.
const maxOpenCallsPerPeer = 2

func (f *peerCallCounter) tryBegin(id ids.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id] >= maxOpenCallsPerPeer {
		return false
	}
	f.open[id]++
	return true
}

func (f *peerCallCounter) end(id ids.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id]--; f.open[id] == 0 {
		delete(f.open, id)
	}
}
