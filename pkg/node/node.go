package node

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
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
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointlimit"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/evacuation"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/freshness"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/holdoff"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/pace"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/quarantine"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/retrybudget"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/endpoints"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

const (
	// claimDelay is how long a VM listens to its peers after the start before
	// it claims engines: two exchanges, once all VMs have started within 300
	// ms.
	claimDelay = 700 * time.Millisecond
	// claimDelayWithRelays replaces claimDelay in a fleet with relays, where a
	// VM needs longer to learn of the larger VMs that claim first.
	claimDelayWithRelays = 1600 * time.Millisecond
	// confirmDelayAfterStall is how long a VM whose process was stalled listens
	// to its peers before it sends orders again: two exchanges.
	confirmDelayAfterStall = 600 * time.Millisecond
	// retryBudgetShare and retryReserveShare are the shares of the operators'
	// limit on repeated sends that are used: of what requests earn, and of the
	// reserve. The rest is a margin, because each VM counts only its own repeats:
	// a window may see the reserve before and after a restart of all VMs, and the
	// half of one that is earned meanwhile.
	retryBudgetShare  = 0.8
	retryReserveShare = 0.35
)

// Options holds the dependencies of a Node and its readiness and log options.
type Options struct {
	Store       Store
	Records     Records
	Engines     Engines
	HeaderCodec HeaderCodec
	// Client sends requests to endpoints.
	Client *endpoints.Client
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	LogOutput io.Writer
	LogLevel  string
	// OwnsProcess is set if the process consists of this VM only, so that the memory of
	// the process is that of the VM.
	OwnsProcess bool
}

// Node is one entry VM. Each mutex guards the fields that follow it up to the
// next blank line. recordsMu guards records and serializes the changes to
// mirror and directory.
type Node struct {
	settings    Settings
	store       Store
	engines     Engines
	headerCodec HeaderCodec
	client      *endpoints.Client
	options     Options

	boot      ids.BootID
	startedAt time.Time
	// bootTime is the clock of proofs, messages and stalls; see the function of
	// that name. bootTimeAtStart is its reading at the start of this process.
	bootTime        func() time.Time
	bootTimeAtStart time.Time
	log             *logrus.Logger
	metrics         *metrics
	logWriter       *lineWriter

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
	// lastPlan is the exchange plan of the last round.
	lastPlan fleet.Plan

	capsMu sync.Mutex
	caps   *caps.Limiter

	balanceMu sync.Mutex
	balancer  *balance.Balancer
	// pausesSentAt is when each peer was last sent the counts of late streams.
	pausesSentAt map[ids.VMID]time.Time

	retryBudgetsMu sync.Mutex
	retryBudgets   map[string]*retrybudget.Budget

	quarantineMu sync.Mutex
	quarantine   *quarantine.Quarantine
	// loggedBlames describes the blames that were logged last.
	loggedBlames []string

	limitsMu sync.Mutex
	limits   *endpointlimit.Limits
	// limitsSentAt is when each peer was last sent all limits.
	limitsSentAt map[ids.VMID]time.Time

	cold               coldEndpoints
	plainPace          plainPace
	departures         *endpointDepartures
	evacuations        evacuations
	holds              endpointHolds
	fleetKinds         *fleetKinds
	adapterIndex       *adapterIndex
	engineOwner        *engineOwner
	ensureCalls        singleflight.Group
	crashChecks        singleflight.Group
	copies             *copyThrottle
	firstByteEstimator *firstByteEstimator
	engineStarts       *engineStarts
	ownLoadsClock      ownLoadsClock
	plainLoads         *plainLoads
	answerMemory       *answerMemory
	bodyMemory         *bodyMemory
	callerAccount      *callerAccount
	peers              *peers.Node
	peerCalls          peerCallCounter
	lastSent           lastSentTimes
	// unresponsiveOwners holds the engine owners that recently did not answer a
	// prefill request, and unresponsiveCoordinators the VMs that did not answer a
	// request for a grant.
	unresponsiveOwners, unresponsiveCoordinators unresponsiveVMs
	// requestEnds holds the ends of requests that their owners don't know yet.
	requestEnds *requestEnds

	wakeExchange, wakeOwner, wakeStoreReader wakeSignal

	// copyDiffers is set if the store has to be listed since this VM's copy of it
	// differs from a peer's. copyCheckedAt is when that was last found, as a boot time
	// in Unix nanoseconds.
	copyDiffers   atomic.Bool
	copyCheckedAt atomic.Int64

	// exchangeWithAll is set if the next round of exchanges is to call all relays.
	exchangeWithAll atomic.Bool

	draining     atomic.Bool
	openRequests atomic.Int64
	pickSalt     atomic.Uint64
	// fleetSize is the estimated number of VMs, this one included; 0 while it is
	// not known.
	fleetSize atomic.Int64
	// lastStallEnd is when the process last resumed after a stall, in Unix
	// nanoseconds.
	lastStallEnd atomic.Int64

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	servers []*http.Server
	// callers holds the callers' connections, and callersListener accepts them.
	callers         *connections.Set
	callersListener net.Listener
	// drainSchedule is nil before a drain.
	drainSchedule atomic.Pointer[drainSchedule]
	// requestsCtx ends when the open requests of a drain have to be answered.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
	// answersCtx ends when the answers that have begun are cut.
	answersCtx    context.Context
	cancelAnswers context.CancelFunc
}

// New creates a VM without opening a port.
func New(settings Settings, options Options) *Node {
	now, boot := time.Now(), ids.BootID(uuid.NewString()[:8])
	logWriter := newLineWriter(options.LogOutput)
	n := &Node{
		settings: settings, options: options,
		store: options.Store, records: options.Records, engines: options.Engines, headerCodec: options.HeaderCodec, client: options.Client,
		boot: boot, startedAt: now, bootTime: bootTime, bootTimeAtStart: bootTime(),
		logWriter: logWriter, log: observability.NewLogger(logWriter, options.LogLevel, &observability.Redactor{}),
		mirror: newMirror(options.Records, settings), directory: directory.New(), declared: newDeclaredVersions(time.Duration(versionGraceShare * float64(settings.Bounds.OldVersionGracePeriod))),
		authority: authority.New(authority.Config{
			Self: settings.Self(), DataCentre: settings.DataCentre, Cores: settings.Cores, FenceSuffix: uniqueNumber(settings.IP),
			Lease: settings.Bounds.Lease, FirstClaimDelay: claimDelay, SuspendTime: confirmDelayAfterStall,
			EnginesCheckFences: settings.Bounds.EnginesCheckFences, Boot: boot, Seeds: settings.Seeds,
		}, now),
		caps:               caps.New(settings.FirstStart),
		balancer:           balance.New(balance.DefaultConfig(settings.DataCentre)),
		pausesSentAt:       make(map[ids.VMID]time.Time),
		retryBudgets:       make(map[string]*retrybudget.Budget),
		quarantine:         quarantine.New(quarantine.DefaultConfig()),
		limits:             endpointlimit.New(endpointlimit.DefaultConfig()),
		limitsSentAt:       make(map[ids.VMID]time.Time),
		cold:               coldEndpoints{known: endpointlimit.NewCold(endpointlimit.DefaultColdConfig())},
		plainPace:          plainPace{group: pace.New(pace.DefaultConfig()), inFlight: make(map[ids.EndpointID]int)},
		departures:         newEndpointDepartures(),
		evacuations:        evacuations{tracker: evacuation.New()},
		holds:              endpointHolds{known: holdoff.New(holdoff.DefaultConfig())},
		fleetKinds:         newFleetKinds(),
		adapterIndex:       newAdapterIndex(),
		copies:             &copyThrottle{requests: make(map[serving.AdapterKey]requestCount), interval: copyInterval, minRequests: copyMinRequests},
		firstByteEstimator: newFirstByteEstimator(),
		engineStarts:       newEngineStarts(settings.DataCentre),
		plainLoads:         newPlainLoads(settings.DataCentre),
		answerMemory:       newAnswerMemory(settings.MemoryBytes),
		callerAccount:      newCallerAccount(settings.MemoryBytes, settings.FileDescriptors),
		peerCalls:          peerCallCounter{open: make(map[ids.VMID]int)},
		lastSent:           lastSentTimes{byPeer: make(map[ids.VMID]messageSendTime)},
		wakeExchange:       newWakeSignal(),
		wakeOwner:          newWakeSignal(),
		wakeStoreReader:    newWakeSignal(),
	}
	n.callers = connections.NewObserved(n.callerAccount)
	n.callerAccount.set = n.callers
	if options.OwnsProcess {
		n.callerAccount.measureProcess()
	}
	n.bodyMemory = &bodyMemory{n.callerAccount}
	self := fleet.Announcement{ID: settings.Self(), DataCentre: settings.DataCentre, Boot: n.boot, Cores: settings.Cores}
	n.fleet = fleet.New(fleet.DefaultConfig(), now, self, settings.Seeds)
	// VMs whose salts go through the same numbers would make the same choices.
	n.pickSalt.Store(rand.Uint64())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.requestsCtx, n.cancelRequests = context.WithCancel(context.Background())
	n.answersCtx, n.cancelAnswers = context.WithCancel(context.Background())
	n.metrics = newMetrics(n)
	n.engineOwner = newOwner(n)
	n.requestEnds = newRequestEnds()
	n.peers = peers.New(peers.Config{
		Self:     peers.Sender{VM: settings.Self(), Boot: n.boot},
		Registry: n.registry(),
		SourceIP: settings.IP,
		Logger:   n.log,
	})
	return n
}

// uniqueNumber returns the last three bytes of an IPv4 address, which differ
// between the VMs of a deployment. It returns 0 for any other address.
func uniqueNumber(ip string) uint64 {
	parsed := net.ParseIP(ip).To4()
	if parsed == nil {
		return 0
	}
	return uint64(parsed[1])<<16 | uint64(parsed[2])<<8 | uint64(parsed[3])
}

// Start opens the ports and starts the background loops, without waiting for
// them.
func (n *Node) Start() error {
	peerListener, err := net.Listen("tcp", n.settings.ListenAddresses.Peers)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+n.options.ReadyPath, n.serveReady)
	if err := n.serveCallers(); err != nil {
		_ = peerListener.Close()
		return err
	}
	for _, port := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"ready", n.settings.ListenAddresses.Ready, ready},
		{"metrics", n.settings.ListenAddresses.Metrics, n.metrics.handler()},
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
			n.logWarning("peer listener failed", err, nil)
		}
	})
	n.workers.Go(func() { n.exchangeLoop(n.ctx) })
	n.workers.Go(func() { n.callerLoop(n.ctx) })
	n.workers.Go(func() { n.storeLoop(n.ctx) })
	n.workers.Go(func() { n.engineOwner.run(n.ctx) })
	n.workers.Go(func() { n.requestEndsLoop(n.ctx) })
	n.logInfo("start", fields{"name": n.settings.Name, "self": n.settings.Self(), "boot": n.boot, "dataCentre": n.settings.DataCentre, "seeds": n.settings.Seeds, "firstStart": n.settings.FirstStart})
	return nil
}

// Limits of the HTTP servers. The operators configure lower limits, which are
// checked for each request.
const (
	serverHeaderTimeout = 10 * time.Second
	serverIdleTimeout   = 90 * time.Second
	serverHeaderBytes   = 64 << 10
)

// serveCallers serves callers on connections that a drain closes only between two
// requests.
func (n *Node) serveCallers() error {
	if n.settings.ListenAddresses.Callers == "" {
		return nil
	}
	listener, err := net.Listen("tcp", n.settings.ListenAddresses.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.callersListener = listener
	n.serveOn("callers", n.callers.Listen(listener), &http.Server{Handler: n.callers.Handler(n), ConnState: n.callers.ConnState, ConnContext: n.callers.ConnContext})
	return nil
}

func (n *Node) serve(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s", name)
	}
	n.serveOn(name, listener, &http.Server{Handler: handler})
	return nil
}

func (n *Node) serveOn(name string, listener net.Listener, server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = serverHeaderTimeout, serverIdleTimeout, serverHeaderBytes
	server.ErrorLog = log.New(serverErrorLog{n}, "", 0)
	n.servers = append(n.servers, server)
	n.workers.Go(func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || n.draining.Load() && errors.Is(err, net.ErrClosed) {
			return
		}
		n.logWarning("listener failed", err, fields{"name": name})
	})
}

// serveReady answers the readiness probe. A VM is ready while it can serve
// requests that carry a key.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	age, proven := n.proofAge()
	bound := time.Duration(proofAgeShare * float64(n.settings.Bounds.MaxRevocationDelay))
	current := proven && (!n.settings.Bounds.StrictRevocation || age <= bound)
	if n.draining.Load() || n.directory.View().Config == nil || !current {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop shuts the VM down at once, as a kill would.
func (n *Node) Stop() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.stop()
}

func (n *Node) stop() {
	n.cancel()
	n.cancelRequests()
	n.cancelAnswers()
	n.peers.Close()
	n.workers.Wait()
	n.metrics.close()
}

// Reload applies the settings that may change at run time, which are the seeds.
func (n *Node) Reload(settings Settings) {
	n.membersMu.Lock()
	n.fleet.SetSeeds(settings.Seeds)
	n.membersMu.Unlock()
	n.logInfo("reload", fields{"seeds": settings.Seeds})
}

// ReloadFailed logs that changed settings cannot be read. The previous settings
// remain in effect.
func (n *Node) ReloadFailed(err error) { n.logWarning("reload failed", err, nil) }

// fences returns the fencing tokens of the data centres whose engines this VM
// may send orders to now, and the token 0 for those of which it only reads
// reports.
func (n *Node) fences(now time.Time) map[ids.DataCentreID]ids.FencingToken {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	fences := make(map[ids.DataCentreID]ids.FencingToken)
	for _, dc := range n.authority.Watched(now) {
		fences[dc] = 0
	}
	for _, claim := range n.authority.Claims() {
		if fence, allowed := n.authority.Fence(now, claim.DataCentre); allowed {
			fences[claim.DataCentre] = fence
		}
	}
	return fences
}

// hasClaims reports whether this VM has a claim, under which it may or may not
// send orders now, or is about to make one.
func (n *Node) hasClaims() bool {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	return len(n.authority.Claims()) > 0 || len(n.authority.Watched(time.Now())) > 0
}

func (n *Node) fence(now time.Time, dc ids.DataCentreID) (ids.FencingToken, bool) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	return n.authority.Fence(now, dc)
}

func (n *Node) orderedByUnheardVM(now time.Time, dc ids.DataCentreID) bool {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	return n.authority.OrderedByUnheardVM(now, dc)
}

// dropFencedClaim gives up the claim on a data centre after one of its engines
// rejected the claim's fencing token.
func (n *Node) dropFencedClaim(dc ids.DataCentreID) {
	n.membersMu.Lock()
	n.authority.DropRefusedClaim(time.Now(), dc)
	n.membersMu.Unlock()
	n.logInfo("claim dropped: engine has seen a higher fencing token", fields{"dataCentre": dc})
}

// recordForeignOrder records that an engine has accepted an order of another VM.
func (n *Node) recordForeignOrder(now time.Time, e *serving.Endpoint) {
	n.membersMu.Lock()
	dropped := n.authority.ForeignOrderSeen(now, e.DataCentre)
	n.membersMu.Unlock()
	n.logInfo("engine accepted an order of another VM", fields{"endpoint": e.ID, "dataCentre": e.DataCentre, "claimDropped": dropped})
}

// retryBudget returns the retry budget of a service. The caller holds
// retryBudgetsMu.
func (n *Node) retryBudget(service string, now time.Time) *retrybudget.Budget {
	bounds := n.settings.Bounds
	reserve := 0.0
	if size := n.fleetSize.Load(); size > 0 {
		reserve = retryReserveShare * bounds.RetryReserve / float64(size)
	}
	b := n.retryBudgets[service]
	if b == nil {
		b = retrybudget.New(retrybudget.Config{Ratio: retryBudgetShare * bounds.RetryRatio, Reserve: reserve, Window: bounds.RetryWindow}, now)
		n.retryBudgets[service] = b
	}
	b.SetReserve(reserve)
	return b
}
