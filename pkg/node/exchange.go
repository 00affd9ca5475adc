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
	exchangeTimeout  = 600 * time.Millisecond
	deltaTimeout     = 1500 * time.Millisecond
	// stallGap is the pause of the exchange loop that means that the process
	// stood still.
	stallGap = 700 * time.Millisecond
)

// Methods between VMs.
const (
	methodExchange = "node.exchange"
	methodDelta    = "node.delta"
	methodEnsure   = "node.ensure"
)

// summary is what a VM tells another several times a second.
type summary struct {
	fleet.Announcement
	// Members are the peers that the VM has heard.
	Members []ids.VMID `json:"members,omitempty"`
	// Through is the store's revision that the VM has applied, and ProofMs the
	// age of the proof that it is current; negative if there is none.
	Through ids.Revision                      `json:"through"`
	ProofMs int64                             `json:"proof"`
	Claims  []authority.Claim                 `json:"claims,omitempty"`
	Totals  caps.Totals                       `json:"totals,omitempty"`
	Loads   map[ids.EndpointID]balance.Load   `json:"loads,omitempty"`
	Pauses  map[ids.EndpointID]balance.Pauses `json:"pauses,omitempty"`
	Uses    map[string]float64                `json:"uses,omitempty"`
	// Active are the adapters with open requests at the VM.
	Active []string                          `json:"active,omitempty"`
	Seen   uint64                            `json:"seen,omitempty"`
	Tables map[ids.EndpointID]publishedTable `json:"tables,omitempty"`
	// TablesAt counts the changes of the tables of this run.
	TablesAt uint64 `json:"tablesAt,omitempty"`
}

type deltaRequest struct {
	After ids.Revision `json:"after"`
}

func (n *Node) registry() *peers.Registry {
	registry := peers.NewRegistry()
	peers.Handle(registry, methodExchange, n.handleExchange)
	peers.Handle(registry, methodDelta, n.handleDelta)
	peers.Handle(registry, methodEnsure, n.handleEnsure)
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
		pause := exchangeInterval + time.Duration(rand.Int64N(int64(exchangeInterval/5)))
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
	for _, id := range n.fleet.Known() {
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
	reply, err := peers.Call[summary](ctx, n.peers, id, methodExchange, exchangeTimeout, n.summarize(asked, id))
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
		n.proof.Relay(asked, time.Duration(reply.ProofMs)*time.Millisecond, reply.Through, n.mirror.Through())
		n.proofMu.Unlock()
	}
}

func (n *Node) handleExchange(_ context.Context, _ peers.From, request summary) (summary, error) {
	now := time.Now()
	n.hear(now, request)
	reply := n.summarize(now, request.ID)
	reply.Tables, reply.TablesAt = n.owner.tablesSince(now, request.Seen)
	return reply, nil
}

func (n *Node) handleDelta(_ context.Context, _ peers.From, request deltaRequest) (mirror.Delta, error) {
	return n.mirror.Since(request.After), nil
}

// summarize returns the VM's state for a peer.
func (n *Node) summarize(now time.Time, to ids.VMID) summary {
	s := summary{
		Announcement: fleet.Announcement{
			ID:         n.settings.Self(),
			DataCentre: n.settings.DataCentre,
			Boot:       n.boot,
			UptimeMs:   now.Sub(n.started).Milliseconds(),
			Leaving:    n.leaving.Load(),
		},
		ProofMs: -1,
	}
	n.proofMu.Lock()
	s.Through = n.mirror.Through()
	if age, proven := n.proof.Age(now); proven {
		s.ProofMs = age.Milliseconds() + 1
	}
	n.proofMu.Unlock()
	n.membersMu.Lock()
	for _, m := range n.fleet.Alive(now) {
		s.Members = append(s.Members, m.ID)
	}
	s.Claims = n.authority.Claims()
	n.membersMu.Unlock()
	n.capsMu.Lock()
	s.Totals = n.caps.Own()
	n.capsMu.Unlock()
	n.balanceMu.Lock()
	s.Loads, s.Pauses = n.balancer.Own(), n.balancer.OwnPauses(now)
	n.balanceMu.Unlock()
	s.Uses = n.residents.takeUses(to)
	s.Active = n.residents.activeNames()
	s.Seen = n.residents.seen(to)
	return s
}

// hear takes the state of a peer.
func (n *Node) hear(now time.Time, s summary) {
	n.membersMu.Lock()
	restarted := n.fleet.Hear(now, s.Announcement)
	n.fleet.Learn(now, s.Members)
	n.authority.Hear(now, s.ID, s.Boot, s.Claims)
	n.authority.HolderHeard(now, s.ID)
	n.membersMu.Unlock()
	if restarted {
		n.note("member heard", fields{"peer": s.ID, "boot": s.Boot, "dataCentre": s.DataCentre, "uptimeMs": s.UptimeMs})
	}
	n.capsMu.Lock()
	n.caps.Hear(now, s.ID, s.Boot, time.Duration(s.UptimeMs)*time.Millisecond, s.Totals)
	n.capsMu.Unlock()
	n.balanceMu.Lock()
	n.balancer.Hear(now, s.ID, s.Loads, s.Pauses)
	n.balanceMu.Unlock()
	n.owner.used(now, s.Uses)
	n.owner.hearActive(now, s.ID, s.Active)
	n.residents.hear(now, s.ID, s.Boot, s.Tables, s.TablesAt)
}

// claim updates the claims and what depends on the number of members.
func (n *Node) claim(now time.Time) {
	n.membersMu.Lock()
	alive := n.fleet.Alive(now)
	silent := n.fleet.Silent(now)
	candidates := make([]authority.Candidate, 0, len(alive))
	for _, m := range alive {
		candidates = append(candidates, authority.Candidate{ID: m.ID, DataCentre: m.DataCentre, Boot: m.Boot, Started: m.Started, Leaving: m.Leaving})
	}
	before := len(n.authority.Claims())
	n.authority.Tick(now, now, n.leaving.Load(), n.settings.DataCentres, candidates)
	claims := n.authority.Claims()
	n.membersMu.Unlock()
	if len(claims) != before {
		n.note("claims changed", fields{"claims": claims, "alive": len(alive), "silent": len(silent)})
	}
	n.capsMu.Lock()
	n.caps.SetSides(len(alive)+1, len(silent))
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
