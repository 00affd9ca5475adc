package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

const (
	// One-way delays between VMs.
	delayNear   = 300 * time.Microsecond
	delayRegion = time.Millisecond
	delayFar    = 40 * time.Millisecond
	// requestOverhead and replyOverhead are the JSON-RPC envelope with its
	// framing, packetOverhead the headers of TCP, IP and the link.
	requestOverhead = 75
	replyOverhead   = 45
	packetOverhead  = 66
)

// Site is one data centre of a layout.
type Site struct {
	ID     ids.DataCentreID
	Region string
	VMs    int
}

// Config describes a simulated fleet.
type Config struct {
	Seed  uint64
	Sites []Site
	// Loss is the part of messages that is lost, Repeat the part of requests
	// that arrives twice.
	Loss, Repeat float64
	// CountBytes measures the size of every message, which costs most of the
	// time of a simulation.
	CountBytes bool
	// Prepare is called for each started VM before its first step.
	Prepare func(*Node)
}

// Fleet is a simulated fleet with its platform.
type Fleet struct {
	*Sim
	Config   Config
	Platform *Platform
	// Nodes holds every VM ever started, by id.
	Nodes map[ids.VMID]*Node
	// Cut tells whether messages between two data centres are lost;
	// CutPlatform whether one is separated from the platform.
	Cut         func(a, b ids.DataCentreID) bool
	CutPlatform func(ids.DataCentreID) bool
	// Applied is called whenever a VM's catalog may have changed.
	Applied func(*Node)

	order   []ids.VMID
	listed  []platformapi.VM
	regions map[ids.DataCentreID]string
	serial  int
}

// Node is one simulated VM. Its parts are replaced when it restarts.
type Node struct {
	VM       platformapi.VM
	Boot     ids.BootID
	Up       bool
	Members  *membership.Members
	Catalog  *catalog.Catalog
	Relay    *relay.Relay
	Home     *idempotency.Home
	Claimer  *idempotency.Claimer
	ReadyAt  time.Duration
	Platform bool

	BytesSent, BytesReceived, Messages int

	fleet       *Fleet
	pausedUntil time.Time
	view        *catalog.View
}

// New returns a fleet whose VMs are listed and not started yet.
func New(config Config) *Fleet {
	sim := NewSim(config.Seed)
	f := &Fleet{
		Sim:         sim,
		Config:      config,
		Platform:    newPlatform(sim),
		Nodes:       make(map[ids.VMID]*Node),
		Cut:         func(a, b ids.DataCentreID) bool { return false },
		CutPlatform: func(ids.DataCentreID) bool { return false },
		Applied:     func(*Node) {},
		regions:     make(map[ids.DataCentreID]string),
	}
	for _, site := range config.Sites {
		f.regions[site.ID] = site.Region
		f.Platform.Publish("dataCentre/"+string(site.ID), fmt.Sprintf(
			`{"kind":"dataCentre","schema":1,"id":%q,"spec":{"region":%q,"seats":%d}}`, site.ID, site.Region, site.VMs+2))
		for range site.VMs {
			f.add(site.ID)
		}
	}
	f.Publish()
	return f
}

// add lists a new VM without publishing the list.
func (f *Fleet) add(dataCentre ids.DataCentreID) *Node {
	f.serial++
	vm := platformapi.VM{
		ID:          ids.VMID(fmt.Sprintf("vm-%s-%d", dataCentre, f.serial)),
		DataCentre:  dataCentre,
		PeerAddress: "192.0.2.1:7000",
		State:       platformapi.VMLive,
	}
	node := &Node{VM: vm, fleet: f}
	f.Nodes[vm.ID] = node
	f.order = append(f.order, vm.ID)
	f.listed = append(f.listed, vm)
	return node
}

// Publish publishes the VM list.
func (f *Fleet) Publish() { f.Platform.PutList(f.listed) }

// All lists the VMs that are up, in the order of their creation.
func (f *Fleet) All() []*Node {
	var up []*Node
	for _, id := range f.order {
		if f.Nodes[id].Up {
			up = append(up, f.Nodes[id])
		}
	}
	return up
}

// Listed lists the VMs in the newest list.
func (f *Fleet) Listed() []*Node {
	var nodes []*Node
	for _, vm := range f.listed {
		nodes = append(nodes, f.Nodes[vm.ID])
	}
	return nodes
}

// StartAll starts every listed VM within a spread.
func (f *Fleet) StartAll(spread time.Duration) {
	for _, node := range f.Listed() {
		f.After(f.Uniform(spread), node.Start)
	}
}

// Replace kills a VM, takes it off the list and starts another one there.
func (f *Fleet) Replace(old *Node) *Node {
	old.Kill()
	f.listed = slices.DeleteFunc(f.listed, func(vm platformapi.VM) bool { return vm.ID == old.VM.ID })
	node := f.add(old.VM.DataCentre)
	f.Publish()
	node.Start()
	return node
}

// Start starts the VM's process with empty memory.
func (n *Node) Start() {
	f := n.fleet
	f.serial++
	n.Boot = ids.BootID(fmt.Sprintf("b%d", f.serial))
	n.Up = true
	n.ReadyAt = 0
	n.pausedUntil = time.Time{}
	n.view = nil
	n.Members = membership.New(n.VM.ID, n.VM.DataCentre)
	n.Catalog = catalog.New()
	n.Relay = relay.New(relay.Config{
		Boot:  n.Boot,
		Start: f.Now(),
		Rand:  rand.New(rand.NewPCG(f.Rand.Uint64(), 1)),
	}, n.Members, n.Catalog)
	n.Home = idempotency.NewHome(n.Boot, f.Now(), n.Members)
	n.Claimer = idempotency.NewClaimer(n.Boot, n.Members)
	if f.Config.Prepare != nil {
		f.Config.Prepare(n)
	}
	boot := n.Boot
	f.After(f.Uniform(relay.TickInterval), func() { n.tick(boot) })
}

// tick runs the relay while the process lives.
func (n *Node) tick(boot ids.BootID) {
	n.fleet.whenAwake(n, boot, func() {
		n.perform(n.Relay.Tick(n.fleet.Now()))
		n.fleet.After(relay.TickInterval, func() { n.tick(boot) })
	})
}

// Kill ends the VM's process.
func (n *Node) Kill() { n.Up = false }

// Pause stops the VM's process for a time. Messages wait for it.
func (n *Node) Pause(period time.Duration) { n.pausedUntil = n.fleet.Now().Add(period) }

// whenAwake runs a step in a process once it is not paused, unless it ended.
func (f *Fleet) whenAwake(n *Node, boot ids.BootID, step func()) {
	if !n.Up || n.Boot != boot {
		return
	}
	if f.now.Before(n.pausedUntil) {
		f.After(n.pausedUntil.Sub(f.now)+f.Uniform(time.Millisecond), func() { f.whenAwake(n, boot, step) })
		return
	}
	step()
}

// Awake tells whether the VM's process runs now.
func (n *Node) Awake() bool { return n.Up && !n.fleet.now.Before(n.pausedUntil) }

// Ready tells whether the VM may serve.
func (n *Node) Ready() bool { return n.Awake() && n.Relay.Ready() }

func (f *Fleet) delay(a, b *Node) time.Duration {
	base := delayFar
	switch {
	case a.VM.DataCentre == b.VM.DataCentre:
		base = delayNear
	case f.regions[a.VM.DataCentre] == f.regions[b.VM.DataCentre]:
		base = delayRegion
	}
	return base + f.Uniform(base/4)
}

func (f *Fleet) lost(a, b *Node) bool {
	cut := a.VM.DataCentre != b.VM.DataCentre && f.Cut(a.VM.DataCentre, b.VM.DataCentre)
	return cut || (f.Config.Loss > 0 && f.Rand.Float64() < f.Config.Loss)
}

// wireSize is what a message costs on the network.
func (f *Fleet) wireSize(message any, overhead int) int {
	if !f.Config.CountBytes {
		return 0
	}
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(body) + overhead + packetOverhead
}

// Call sends a request from one VM to another and its reply back. Exactly one
// of onReply and onFailure runs, in the caller's process, if it lives.
func Call[Request, Reply any](from, to *Node, request Request, timeout time.Duration, handle func(Request) Reply, onReply func(Reply), onFailure func()) {
	f := from.fleet
	boot := from.Boot
	settled := false
	settle := func(run func()) {
		f.whenAwake(from, boot, func() {
			if !settled {
				settled = true
				run()
			}
		})
	}
	f.After(timeout, func() { settle(onFailure) })
	size := f.wireSize(request, requestOverhead)
	from.sent(size)
	deliver := func() {
		f.whenAwake(to, to.Boot, func() {
			to.received(size)
			reply := handle(request)
			replySize := f.wireSize(reply, replyOverhead)
			to.sent(replySize)
			if f.lost(to, from) {
				return
			}
			f.After(f.delay(to, from), func() {
				from.received(replySize)
				settle(func() { onReply(reply) })
			})
		})
	}
	copies := 1
	if f.Config.Repeat > 0 && f.Rand.Float64() < f.Config.Repeat {
		copies = 2
	}
	for range copies {
		if !f.lost(from, to) {
			f.After(f.delay(from, to), deliver)
		}
	}
}

func (n *Node) sent(size int) {
	n.BytesSent += size
	n.Messages++
}

func (n *Node) received(size int) { n.BytesReceived += size }

// perform carries out the relay's actions.
func (n *Node) perform(actions []relay.Action) {
	for _, action := range actions {
		n.do(action)
	}
	n.observe()
}

// observe passes on what follows from a changed catalog.
func (n *Node) observe() {
	if view := n.Catalog.View(); view != n.view {
		n.view = view
		n.Home.SetRegions(n.fleet.Now(), view.Regions())
	}
	n.fleet.Applied(n)
}
