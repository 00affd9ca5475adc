package node

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/authority"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/freshness"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/retrybudget"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

const (
	// settle is how long a started VM listens before it claims engines: two
	// exchanges, after all VMs have started within 300 ms.
	settle = 700 * time.Millisecond
	// settleLarge is the same in a fleet with relays, in which a VM takes longer
	// to meet the larger ones that go first.
	settleLarge = 1600 * time.Millisecond
	// confirmAfterStall is how long a VM that stood still listens before it
	// orders again: two exchanges.
	confirmAfterStall = 600 * time.Millisecond
	// repeatShare is the part of the operators' bound on repeats that is used,
	// since VMs count on their own.
	repeatShare = 0.8
)

// Options are the outside of a VM.
type Options struct {
	Store   Store
	Records Records
	Engines Engines
	Wire    Wire
	// Client carries requests to endpoints.
	Client *http.Client
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	LogOutput io.Writer
	LogLevel  string
}

// Node is one entry VM.
type Node struct {
	settings Settings
	store    Store
	engines  Engines
	wire     Wire
	client   *http.Client
	options  Options

	boot    ids.BootID
	started time.Time
	log     *logrus.Logger
	metrics *metrics
	lines   *lineWriter

	mirror    *mirror.Mirror
	directory *directory.Directory
	recordsMu sync.Mutex
	records   Records
	declared  *declaredVersions

	proofMu sync.Mutex
	proof   freshness.Proof

	membersMu sync.Mutex
	fleet     *fleet.Fleet
	authority *authority.Authority

	capsMu sync.Mutex
	caps   *caps.Limiter

	balanceMu sync.Mutex
	balancer  *balance.Balancer
	// pausesTold is when each peer was last told of late streams.
	pausesTold map[ids.VMID]time.Time

	budgetsMu sync.Mutex
	budgets   map[string]*retrybudget.Budget

	residents *residents
	owner     *owner
	ensures   singleflight.Group
	copies    *pacer
	pace      *pace
	peers     *peers.Node
	calling   inFlight
	// silentOwners did not answer whether a request may begin.
	silentOwners silentOwners

	// lastPlan is the last plan that was logged. Only the exchange loop uses it.
	lastPlan fleet.Plan

	nudge    chan struct{}
	leaving  atomic.Bool
	open     atomic.Int64
	salt     atomic.Uint64
	aliveVMs atomic.Int64
	// stoodStill is when the process last went on after it did not run, in
	// Unix nanoseconds.
	stoodStill atomic.Int64

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	servers []*http.Server
}

// New assembles a VM without opening a port.
func New(settings Settings, options Options) *Node {
	now := time.Now()
	lines := newLineWriter(options.LogOutput)
	n := &Node{
		settings: settings, options: options,
		store: options.Store, records: options.Records, engines: options.Engines, wire: options.Wire, client: options.Client,
		boot: ids.BootID(uuid.NewString()[:8]), started: now,
		lines: lines, log: observability.NewLogger(lines, options.LogLevel, &observability.Redactor{}),
		mirror: mirror.New(), directory: directory.New(), declared: newDeclaredVersions(),
		authority: authority.New(authority.Config{
			Self: settings.Self(), DataCentre: settings.DataCentre, Size: settings.Size, Unique: uniqueOf(settings.IP),
			Lease: settings.Bounds.Lease, Settle: settle, Confirm: confirmAfterStall,
		}, now),
		caps:       caps.New(settings.FirstStart),
		balancer:   balance.New(balance.DefaultConfig(settings.DataCentre)),
		pausesTold: make(map[ids.VMID]time.Time),
		budgets:    make(map[string]*retrybudget.Budget),
		residents:  newResidents(),
		copies:     &pacer{last: make(map[serving.AdapterKey]demandCount), pause: copyPause, need: copyDemand},
		pace:       newPace(),
		calling:    inFlight{open: make(map[ids.VMID]int)},
		nudge:      make(chan struct{}, 1),
	}
	self := fleet.Announcement{ID: settings.Self(), DataCentre: settings.DataCentre, Boot: n.boot, Size: settings.Size}
	n.fleet = fleet.New(fleet.DefaultConfig(), now, self, settings.Seeds)
	n.aliveVMs.Store(1)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.metrics = newMetrics(n)
	n.owner = newOwner(n)
	n.peers = peers.New(peers.Config{
		Self:     peers.From{VM: settings.Self(), Boot: n.boot},
		Registry: n.registry(),
		Source:   settings.IP,
		Logger:   n.log,
	})
	return n
}

// uniqueOf returns the last three bytes of an IPv4 address, which differ
// between the VMs of a deployment.
func uniqueOf(ip string) uint64 {
	parsed := net.ParseIP(ip).To4()
	if parsed == nil {
		return 0
	}
	return uint64(parsed[1])<<16 | uint64(parsed[2])<<8 | uint64(parsed[3])
}

// Start opens the ports and starts serving. It returns at once.
func (n *Node) Start() error {
	peerListener, err := net.Listen("tcp", n.settings.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+n.options.ReadyPath, n.serveReady)
	for _, port := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", n.settings.Listen.Callers, n},
		{"ready", n.settings.Listen.Ready, ready},
		{"metrics", n.settings.Listen.Metrics, n.metrics.handler()},
	} {
		if port.address == "" {
			continue
		}
		if err := n.serve(port.name, port.address, port.handler); err != nil {
			_ = peerListener.Close()
			return err
		}
	}
	n.workers.Go(func() {
		if err := n.peers.Serve(peerListener); err != nil {
			n.warn("peer listener failed", err, nil)
		}
	})
	n.workers.Go(func() { n.exchangeLoop(n.ctx) })
	n.workers.Go(func() { n.sourceLoop(n.ctx) })
	n.workers.Go(func() { n.owner.run(n.ctx) })
	n.note("start", fields{"name": n.settings.Name, "self": n.settings.Self(), "boot": n.boot, "dataCentre": n.settings.DataCentre, "seeds": n.settings.Seeds, "firstStart": n.settings.FirstStart})
	return nil
}

// Limits of the servers. Those of the operators' configuration are below them
// and are checked for each request.
const (
	serverHeaderTimeout = 10 * time.Second
	serverIdleTimeout   = 90 * time.Second
	serverHeaderBytes   = 64 << 10
)

func (n *Node) serve(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: serverHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		ErrorLog:          log.New(serverLog{n}, "", 0),
	}
	n.servers = append(n.servers, server)
	n.workers.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.warn("listener failed", err, fields{"name": name})
		}
	})
	return nil
}

// serveReady answers the readiness probe: a VM is ready while it can serve
// requests with keys.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	age, proven := n.proofAge(time.Now())
	bound := time.Duration(proofShare * float64(n.settings.Bounds.Revocation))
	current := proven && (!n.settings.Bounds.StrictRevocation || age <= bound)
	if n.leaving.Load() || n.directory.View().Config == nil || !current {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Timings of a graceful shutdown.
const (
	// drainListen is how long a leaving VM still takes connections: until the
	// balancer has seen two failed probes a second apart.
	drainListen = 2200 * time.Millisecond
	// drainReserve is kept of the grace time for the end of the process.
	drainReserve = 300 * time.Millisecond
)

// Run serves until the context ends, then drains.
func (n *Node) Run(ctx context.Context) {
	<-ctx.Done()
	n.Drain()
}

// Drain ends the VM without cutting a request that ends within the grace time.
// Once the balancer sends no more connections, unused ones are closed, so that
// no request arrives that would not end in time.
func (n *Node) Drain() {
	began := time.Now()
	n.leaving.Store(true)
	n.claim(began)
	n.wake()
	n.note("drain", fields{"open": n.open.Load()})
	time.Sleep(min(drainListen, n.settings.Bounds.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Bounds.Grace-drainReserve))
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			n.warn("shutdown was cut short", err, fields{"open": n.open.Load()})
			_ = server.Close()
		}
	}
	n.note("stop", fields{"open": n.open.Load(), "drainMs": time.Since(began).Milliseconds()})
	n.stop()
}

// Stop ends the VM at once, as a kill would.
func (n *Node) Stop() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.stop()
}

func (n *Node) stop() {
	n.cancel()
	n.peers.Close()
	n.workers.Wait()
	n.metrics.close()
}

// Reload takes the parts of changed settings that may change at run time.
func (n *Node) Reload(settings Settings) {
	n.membersMu.Lock()
	n.fleet.SetSeeds(settings.Seeds)
	n.membersMu.Unlock()
	n.note("reload", fields{"seeds": settings.Seeds})
}

// ReloadFailed logs that changed settings cannot be read; the last ones stay.
func (n *Node) ReloadFailed(err error) { n.warn("reload failed", err, nil) }

// wake starts the next exchange with the peers at once.
func (n *Node) wake() {
	select {
	case n.nudge <- struct{}{}:
	default:
	}
}

// fences returns the tokens of the data centres that this VM may order now.
func (n *Node) fences(now time.Time) map[ids.DataCentreID]ids.Fence {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	fences := make(map[ids.DataCentreID]ids.Fence)
	for _, claim := range n.authority.Claims() {
		if fence, allowed := n.authority.Fence(now, claim.DataCentre); allowed {
			fences[claim.DataCentre] = fence
		}
	}
	return fences
}

func (n *Node) fence(now time.Time, dc ids.DataCentreID) (ids.Fence, bool) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	return n.authority.Fence(now, dc)
}

// fencedBy gives up a claim after an engine refused its token.
func (n *Node) fencedBy(dc ids.DataCentreID) {
	n.membersMu.Lock()
	n.authority.DropRefusedClaim(dc)
	n.membersMu.Unlock()
	n.note("claim lost to a higher fence", fields{"dataCentre": dc})
}

// budget returns the repeat budget of a service. The caller holds budgetsMu.
func (n *Node) budget(service string, now time.Time) *retrybudget.Budget {
	bounds := n.settings.Bounds
	reserve := repeatShare * bounds.RepeatReserve / float64(n.aliveVMs.Load())
	b := n.budgets[service]
	if b == nil {
		b = retrybudget.New(retrybudget.Config{Ratio: repeatShare * bounds.RepeatRatio, Reserve: reserve, Window: bounds.RepeatWindow}, now)
		n.budgets[service] = b
	}
	b.SetReserve(reserve)
	return b
}
