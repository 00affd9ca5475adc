package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/authority"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Timings of the exchanges between VMs. Four exchanges fit in the time after
// which a member counts as silent.
const (
	exchangeInterval = 250 * time.Millisecond
	// leafInterval is that of leaves, of which a relay may have many.
	leafInterval    = 350 * time.Millisecond
	exchangeTimeout = 600 * time.Millisecond
	// pausesInterval is the pause between messages to a peer that carry the
	// counts of late streams, which change slowly.
	pausesInterval = time.Second
	deltaTimeout   = 1500 * time.Millisecond
	// stallGap is the pause of the exchange loop that means that the process
	// stood still.
	stallGap = 700 * time.Millisecond
)

// relayedJitter is the load by which endpoints count as equal while loads
// travel through relays: about what arrives at one within that time.
const relayedJitter = 1.5

// Methods between VMs.
const (
	methodExchange = "node.exchange"
	methodDelta    = "node.delta"
	methodEnsure   = "node.ensure"
	methodBegin    = "node.begin"
	methodStarted  = "node.started"
)

// summary is what a VM tells another several times a second.
type summary struct {
	fleet.Announcement
	// Roster is the members that a relay takes for alive, and RosterSeen the
	// version of the receiver's roster that the sender has.
	Roster     fleet.Roster `json:"roster"`
	RosterSeen uint64       `json:"rosterSeen,omitempty"`
	// Through is the store's revision that the VM has applied, and ProofMs the
	// age of the proof that it is current; negative if there is none.
	Through ids.Revision      `json:"through"`
	ProofMs int64             `json:"proof"`
	Claims  []authority.Claim `json:"claims,omitempty"`
	// Holdings are the claims of the other VMs. A relay tells them its leaves.
	Holdings []authority.Holding `json:"holdings,omitempty"`
	// Totals, Active and what is told of endpoints are those of the sender and its leaves,
	// or of all VMs but the receiver if that is a leaf.
	Totals caps.Totals `json:"totals,omitempty"`
	// Fleet is set where they are those of all VMs.
	Fleet bool `json:"fleet,omitempty"`
	balance.PeerReport
	Uses map[string]float64 `json:"uses,omitempty"`
	// Active are adapters with open requests, told to VMs that order engines.
	Active []string                          `json:"active,omitempty"`
	Seen   uint64                            `json:"seen,omitempty"`
	Tables map[ids.EndpointID]publishedTable `json:"tables,omitempty"`
	// TablesAt counts the changes of the tables of this run.
	TablesAt uint64 `json:"tablesAt,omitempty"`
}

// scope is what a message carries besides the announcement and the proof.
type scope int

const (
	// scopeBrief is a call between relays of a larger fleet, whose state
	// travels in the reply.
	scopeBrief scope = iota
	// scopeOwn is the state of the VM and its leaves.
	scopeOwn
	// scopeFleet is what a relay tells its leaf of all VMs.
	scopeFleet
)

type deltaRequest struct {
	After ids.Revision `json:"after"`
}

func (n *Node) registry() *peers.Registry {
	registry := peers.NewRegistry()
	peers.Handle(registry, methodExchange, n.handleExchange)
	peers.Handle(registry, methodDelta, n.handleDelta)
	peers.Handle(registry, methodEnsure, n.handleEnsure)
	peers.Handle(registry, methodBegin, n.handleBegin)
	peers.Handle(registry, methodStarted, n.handleStarted)
	return registry
}

// exchangeLoop exchanges state with all peers until the VM stops.
func (n *Node) exchangeLoop(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(last) > stallGap {
			n.stoodStill.Store(now.UnixNano())
			n.note("process stood still", fields{"gapMs": now.Sub(last).Milliseconds()})
			n.membersMu.Lock()
			n.authority.Suspend(now)
			n.membersMu.Unlock()
		}
		last = now
		n.exchangeRound(ctx, now)
		n.claim(time.Now())
		interval := exchangeInterval
		if !n.lastPlan.Relay {
			interval = leafInterval
		}
		pause := interval + time.Duration(rand.Int64N(int64(interval/5)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-n.nudge:
		}
	}
}

// exchangeRound calls all targets without waiting for the slow ones.
func (n *Node) exchangeRound(ctx context.Context, now time.Time) {
	n.membersMu.Lock()
	targets := n.fleet.Targets(now)
	addresses := make(map[ids.VMID]string)
	for _, id := range n.fleet.MemberIDs() {
		addresses[id] = string(id)
	}
	n.membersMu.Unlock()
	n.peers.SetPeers(addresses)
	for _, id := range targets {
		if n.calling.begin(id) {
			go func() {
				defer n.calling.end(id)
				n.exchangeWith(ctx, id)
			}()
		}
	}
}

func (n *Node) exchangeWith(ctx context.Context, id ids.VMID) {
	asked := time.Now()
	n.membersMu.Lock()
	plan := n.fleet.Plan(asked)
	n.membersMu.Unlock()
	told := scopeOwn
	if plan.Relay && !plan.Mesh {
		told = scopeBrief
	}
	reply, err := peers.Call[summary](ctx, n.peers, id, methodExchange, exchangeTimeout, n.summarize(asked, id, told))
	if err != nil {
		n.countPeerFailure(id, err)
		return
	}
	now := time.Now()
	n.hear(now, reply)
	n.followStore(ctx, asked, id, reply)
}

// followStore takes a peer's word on the store: its changes, if this VM lacks
// them, and its proof.
func (n *Node) followStore(ctx context.Context, asked time.Time, id ids.VMID, reply summary) {
	if reply.Through > n.mirror.Through() {
		delta, err := peers.Call[mirror.Delta](ctx, n.peers, id, methodDelta, deltaTimeout, deltaRequest{After: n.mirror.Through()})
		if err != nil {
			n.countPeerFailure(id, err)
			return
		}
		n.applyDelta(delta, "peer "+string(id))
	}
	if reply.ProofMs >= 0 {
		n.proofMu.Lock()
		n.proof.ConfirmFromPeer(asked, time.Duration(reply.ProofMs)*time.Millisecond, reply.Through, n.mirror.Through())
		n.proofMu.Unlock()
	}
}

func (n *Node) handleExchange(_ context.Context, _ peers.From, request summary) (summary, error) {
	now := time.Now()
	n.hear(now, request)
	n.membersMu.Lock()
	plan := n.fleet.Plan(now)
	n.membersMu.Unlock()
	tell, choose := scopeOwn, n.owner.owns()
	if plan.Relay && !request.Relay {
		tell, choose = scopeFleet, func(ids.EndpointID) bool { return true }
	}
	reply := n.summarize(now, request.ID, tell)
	reply.Tables, reply.TablesAt = n.residents.tablesSince(now, request.Seen, choose)
	return reply, nil
}

func (n *Node) handleDelta(_ context.Context, _ peers.From, request deltaRequest) (mirror.Delta, error) {
	return n.mirror.Since(request.After), nil
}

// summarize returns the VM's state for a peer.
func (n *Node) summarize(now time.Time, to ids.VMID, tell scope) summary {
	s := summary{ProofMs: -1, Seen: n.residents.seen(to)}
	n.proofMu.Lock()
	s.Through = n.mirror.Through()
	if age, proven := n.proof.Age(now); proven {
		s.ProofMs = age.Milliseconds() + 1
	}
	n.proofMu.Unlock()
	n.membersMu.Lock()
	s.Announcement = n.fleet.Self(now)
	s.Roster, s.RosterSeen = n.fleet.Roster(now, to), n.fleet.RosterSeen(to)
	leaves, orders := n.fleet.Leaves(now), n.fleet.Orders(to)
	s.Claims = n.authority.Claims()
	if tell == scopeFleet {
		s.Holdings = n.authority.Holdings()
	}
	n.membersMu.Unlock()
	s.Uses = n.residents.takeUses(to)
	if tell == scopeBrief {
		return s
	}
	n.tellCounts(now, &s, to, tell, leaves)
	if orders || !s.Relay {
		s.Active = n.owner.activeNames(now, func(vm ids.VMID) bool { return leaves[vm] && vm != to })
	}
	return s
}

// tellCounts fills in the totals, loads and pauses for a peer.
func (n *Node) tellCounts(now time.Time, s *summary, to ids.VMID, tell scope, leaves map[ids.VMID]bool) {
	with := func(vm ids.VMID) bool { return vm != to && (tell == scopeFleet || leaves[vm]) }
	n.capsMu.Lock()
	s.Fleet = tell == scopeFleet
	if s.Fleet {
		s.Totals = n.caps.TotalsForLeaf(to)
	} else {
		s.Totals = n.caps.LocalTotals()
	}
	n.capsMu.Unlock()
	n.balanceMu.Lock()
	s.Loads, s.Outcomes = n.balancer.Loads(now, with), n.balancer.Outcomes(now, with)
	if now.Sub(n.pausesTold[to]) >= pausesInterval {
		n.pausesTold[to] = now
		s.Pauses = n.balancer.Pauses(now, with)
	}
	n.balanceMu.Unlock()
}

// hear takes the state of a peer.
func (n *Node) hear(now time.Time, s summary) {
	n.membersMu.Lock()
	restarted := n.fleet.Hear(now, s.Announcement)
	n.fleet.HearRoster(now, s.Announcement, s.Roster, s.RosterSeen)
	plan := n.fleet.Plan(now)
	n.authority.Hear(now, s.ID, s.Boot, s.Claims)
	n.authority.RefreshHolder(now, s.ID)
	if s.ID == plan.Home {
		n.authority.HearRelayed(now, s.ID, s.Holdings)
	}
	owners := n.authority.Holders()
	n.membersMu.Unlock()
	if restarted {
		n.note("member heard", fields{"peer": s.ID, "boot": s.Boot, "dataCentre": s.DataCentre, "uptimeMs": s.UptimeMs, "relay": s.Relay})
	}
	leaf := plan.Relay && !s.Relay
	n.capsMu.Lock()
	n.caps.ApplyReport(now, s.ID, caps.Report{Boot: s.Boot, Uptime: time.Duration(s.UptimeMs) * time.Millisecond, Totals: s.Totals, Leaf: leaf, Fleet: s.Fleet})
	n.capsMu.Unlock()
	if s.Loads != nil {
		n.balanceMu.Lock()
		n.balancer.Hear(now, s.ID, s.PeerReport)
		n.balanceMu.Unlock()
	}
	n.owner.used(now, s.Uses)
	if leaf && len(s.Uses) > 0 {
		n.residents.use(s.Uses, owners)
	}
	n.owner.hearActive(now, s.ID, s.Active)
	n.residents.hear(now, s.ID, s.Boot, s.Tables, s.TablesAt)
}

// claim updates the claims and what depends on the number of members.
func (n *Node) claim(now time.Time) {
	n.membersMu.Lock()
	alive := n.fleet.Alive(now)
	silent := n.fleet.Suspected(now)
	candidates := make([]authority.Candidate, 0, len(alive))
	for _, m := range alive {
		candidates = append(candidates, authority.Candidate{ID: m.ID, DataCentre: m.DataCentre, Boot: m.Boot, Started: m.Started, Leaving: m.Leaving, Size: m.Size})
	}
	before := len(n.authority.Claims())
	if n.fleet.Plan(now).Mesh || now.Sub(n.started) >= settleLarge || n.leaving.Load() {
		n.authority.Tick(now, now, n.leaving.Load(), n.settings.DataCentres, candidates)
	}
	claims := n.authority.Claims()
	n.fleet.SetSelf(n.leaving.Load(), len(claims) > 0)
	plan := n.fleet.Plan(now)
	n.membersMu.Unlock()
	if len(claims) != before {
		n.note("claims changed", fields{"claims": claims, "alive": len(alive), "silent": len(silent)})
	}
	if plan.Relay != n.lastPlan.Relay || plan.Home != n.lastPlan.Home {
		n.lastPlan = plan
		jitter := 0.0
		if !plan.Mesh {
			jitter = relayedJitter
		}
		n.balanceMu.Lock()
		n.balancer.SetJitter(jitter)
		n.balanceMu.Unlock()
		n.note("place in the exchange changed", fields{"relay": plan.Relay, "home": plan.Home, "alive": len(alive), "silent": len(silent)})
	}
	n.capsMu.Lock()
	n.caps.SetReachable(len(alive)+1, len(silent))
	n.capsMu.Unlock()
	n.aliveVMs.Store(int64(len(alive) + 1))
}

// inFlight keeps a second call to a peer from starting while one is open.
type inFlight struct {
	mu   sync.Mutex
	open map[ids.VMID]int
}

// maxOpenCalls lets a call that hangs on a lost connection be overtaken.
const maxOpenCalls = 2

func (f *inFlight) begin(id ids.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id] >= maxOpenCalls {
		return false
	}
	f.open[id]++
	return true
}

func (f *inFlight) end(id ids.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[id]--
}
