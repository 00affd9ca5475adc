// Package daemon runs one entry VM. It connects the decision logic of
// pkg/coordination (membership, ownership, limits, placement, routing,
// idempotency) to sockets, timers and goroutines. Its inputs are the
// settings, the platform's records and VM list, and the messages of callers,
// peers and endpoints; cmd/wagtailspoked runs it.
package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/ownership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/routing"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/engines"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/platform"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

const (
	statusNotFound = http.StatusNotFound
	statusConflict = http.StatusConflict
)

// safetyRules are switches for single safety checks. All are on; tests turn
// one off to show the violation that it prevents.
type safetyRules struct {
	// recheckKeyAtDispatch checks a caller's key again right before its
	// request is sent and with each token.
	recheckKeyAtDispatch bool
	// drainWaitsForRequests keeps a graceful shutdown from ending before all
	// requests have ended.
	drainWaitsForRequests bool
	// claimIdempotencyKeys claims idempotency keys at their home VMs before a
	// call is sent.
	claimIdempotencyKeys bool
}

// Options are the parameters that do not come from the settings. Their zero
// values select the defaults; tests replace them.
type Options struct {
	// LogOutput receives the log; nil discards it.
	LogOutput io.Writer
	// Fault is passed to the peer links; tests use it to inject faults into
	// messages.
	Fault peers.FaultInjector
	// Terms are the durations of the ownership protocol. Zero selects
	// ownership.DefaultTerms, with idlePinTimeout as PinIdleTimeout.
	Terms ownership.Terms
	// Version is the version of the build, shown in the status.
	Version string
}

// Daemon is one entry VM: its components, listeners and background
// goroutines. The components guard their own state; New creates them.
type Daemon struct {
	settings    settings.Settings
	options     Options
	safetyRules safetyRules
	bootID      ids.BootID
	started     time.Time
	log         *logrus.Logger
	metrics     *metrics

	catalog         *catalog.Catalog
	members         *membership.Members
	relay           *relay.Relay
	ownershipTable  *ownership.Table
	pinHolder       *ownership.PinHolder
	planner         *placement.Planner
	routes          *routing.State
	claimer         *idempotency.Claimer
	idempotencyHome *idempotency.Home

	limiter          *tokenLimiter
	loadPermits      *loadPermits
	ownershipDriver  *ownershipDriver
	reports          *reportStore
	appliedRevisions *appliedRevisions
	servicePicker    *servicePicker
	engines          *engines.Client
	peers            *peers.Node
	platform         *platform.Client

	// queueMu guards queues.
	queueMu sync.Mutex
	queues  map[queueKey]*modelQueue

	// applyMu is held while records or VM lists are applied to all
	// components. It guards appliedList.
	applyMu sync.Mutex
	// appliedThrough is the revision up to which all components have applied
	// all records.
	appliedThrough atomic.Uint64
	appliedList    appliedVMList
	sentHeartbeats heartbeatLog
	pinTracker     pinTracker

	requestGate requestGate
	// attemptsInFlight counts the attempts that are committed to an endpoint
	// and have not ended.
	attemptsInFlight atomic.Int64
	// attemptCounter makes attempt IDs unique.
	attemptCounter atomic.Uint64
	// ready is set once the VM has a complete view of the records.
	ready atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	// spawnMu keeps spawn from starting a goroutine while Stop cancels ctx.
	spawnMu   sync.Mutex
	workers   sync.WaitGroup
	listeners listeners
	servers   []*http.Server
}

// listeners holds the three open ports of a VM: for callers, for other VMs,
// and for operators.
type listeners struct {
	callers, peers, admin net.Listener
}

// idlePinTimeout is how long an unused pin is kept. A pinned adapter cannot
// be evicted, so a longer timeout fills the slots of engines with adapters
// that were requested only once. Acquiring a new pin costs one round trip
// inside the region.
const idlePinTimeout = 2 * time.Second

// New assembles a VM from its settings. It opens no port; Start does.
func New(entry settings.Settings, options Options) *Daemon {
	if options.LogOutput == nil {
		options.LogOutput = io.Discard
	}
	if options.Terms == (ownership.Terms{}) {
		options.Terms = ownership.DefaultTerms()
		options.Terms.PinIdleTimeout = idlePinTimeout
	}
	now := time.Now()
	redactor := &observability.Redactor{}
	d := &Daemon{
		settings:    entry,
		options:     options,
		safetyRules: safetyRules{recheckKeyAtDispatch: true, drainWaitsForRequests: true, claimIdempotencyKeys: true},
		bootID:      ids.BootID(uuid.NewString()),
		started:     now,
		log:         observability.NewLogger(options.LogOutput, entry.Log.Level, redactor),
		catalog:     catalog.New(),
		members:     membership.New(entry.VMID, entry.DataCentre),
		pinHolder:   ownership.NewPinHolder(options.Terms),
		planner:     placement.NewPlanner(placement.DefaultConfig(records.PolicyLatency)),
		queues:      make(map[queueKey]*modelQueue),
		platform:    platform.New("http://"+entry.Platform.Address, source.HTTPClient(entry.Source)),
	}
	redactor.SetKeyLookup(d.isCallerKeyHash)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.metrics = newMetrics(d, now)
	d.assemble(now)
	return d
}

// assemble creates the components that need the daemon or each other.
func (d *Daemon) assemble(now time.Time) {
	self := limits.VM{ID: d.settings.VMID, DataCentre: d.settings.DataCentre}
	limitsConfig := limits.DefaultConfig()
	limitsConfig.FirstBorrowID = uint64(now.UnixNano())
	table := limits.New(limitsConfig, self, now)
	d.limiter = newTokenLimiter(table)
	d.loadPermits = &loadPermits{daemon: d, slots: limits.NewSlots(limits.DefaultSlotConfig(), table), maxCollecting: 2}
	d.ownershipTable = ownership.New(ownership.Config{Self: d.settings.VMID, DataCentre: d.settings.DataCentre, Terms: d.options.Terms}, now)
	d.routes = routing.NewState(routing.DefaultStateConfig(d.settings.DataCentre, d.settings.Region), d.planner, pinView{d.pinHolder})
	d.relay = relay.New(relay.Config{
		Boot:  d.bootID,
		Start: now,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, d.members, d.catalog)
	d.claimer = idempotency.NewClaimer(d.bootID, d.members)
	d.idempotencyHome = idempotency.NewHome(d.bootID, now, d.members)
	d.ownershipDriver = newOwnershipDriver(d)
	d.reports = newReportStore(d)
	d.appliedRevisions = newAppliedRevisions(d)
	d.servicePicker = newServicePicker(d)
	config := engines.DefaultConfig
	config.DialTimeout = d.settings.Timeouts.Connect.Duration()
	config.FirstByteTimeout = d.settings.Timeouts.FirstByte.Duration()
	config.ReadTimeout = d.settings.Timeouts.BetweenBytes.Duration()
	config.MaxIdlePerEndpoint = int(d.settings.Limits.MaxEndpointConnections)
	config.SourceIP = d.settings.Source
	d.engines = engines.New(config)
	d.peers = peers.New(peers.Config{
		Self:          peers.Sender{VM: d.settings.VMID, Boot: d.bootID},
		Registry:      d.registry(),
		SourceIP:      d.settings.Source,
		FaultInjector: d.options.Fault,
		Logger:        d.log,
	})
	d.connectLimiter()
}

// pinView lets routing see which pins the VM holds.
type pinView struct{ holder *ownership.PinHolder }

// Covers implements routing.Pins.
func (v pinView) Covers(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef, deadline time.Time) bool {
	return v.holder.Covers(now, peer.PinKey{Endpoint: endpoint, Ref: ref}, deadline)
}

// registry returns the handlers of all messages that the VM answers.
func (d *Daemon) registry() *peers.Registry {
	registry := peers.NewRegistry()
	d.handleSync(registry)
	d.handleLimits(registry)
	d.handleWeightStore(registry)
	d.handleOwnership(registry)
	d.handleClaims(registry)
	return registry
}

// Start opens the ports and starts serving. It returns without waiting until
// the VM is ready.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		return err
	}
	d.spawn(func() {
		if err := d.peers.Serve(d.listeners.peers); err != nil {
			d.logAt("serve peers", "").WithError(err).Error("peer listener failed")
		}
	})
	server := callers.NewServer(d, callers.Limits{
		MaxBodyBytes:   d.settings.Limits.MaxBodyBytes,
		RequestTimeout: d.settings.Timeouts.Request.Duration(),
	})
	server.Handler = d.closeWhileDraining(server.Handler)
	d.serve("serve callers", server, d.listeners.callers)
	d.serve("serve admin", admin.NewServer(d, d.metrics.handler()), d.listeners.admin)
	d.spawn(d.runRelay)
	d.spawn(d.ownershipDriver.run)
	d.spawn(d.runPeriodicTasks)
	d.logAt("start", "").WithFields(logrus.Fields{
		"callers": d.CallersAddress(),
		"peers":   d.PeersAddress(),
		"admin":   d.AdminAddress(),
		"boot":    d.bootID,
	}).Info("listening")
	return nil
}

// listen opens all three ports, or none if one of them fails.
func (d *Daemon) listen() error {
	for _, port := range []struct {
		name, address string
		target        *net.Listener
	}{
		{"callers", d.settings.Listen.Callers, &d.listeners.callers},
		{"peers", d.settings.Listen.Peers, &d.listeners.peers},
		{"admin", d.settings.Listen.Admin, &d.listeners.admin},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			d.closeListeners()
			return eris.Wrapf(err, "listen for %s on %s", port.name, port.address)
		}
		*port.target = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.listeners.callers, d.listeners.peers, d.listeners.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serve runs an HTTP server on a listener until Stop closes it.
func (d *Daemon) serve(step string, server *http.Server, listener net.Listener) {
	d.servers = append(d.servers, server)
	d.spawn(func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			d.logAt(step, "").WithError(err).Error("listener failed")
		}
	})
}

// spawn runs f in a goroutine that Stop waits for. After Stop it does nothing.
func (d *Daemon) spawn(f func()) {
	d.spawnMu.Lock()
	defer d.spawnMu.Unlock()
	if d.ctx.Err() == nil {
		d.workers.Go(f)
	}
}

// Stop ends the VM at once, as a kill would. Open requests are cut off.
func (d *Daemon) Stop() {
	d.spawnMu.Lock()
	d.cancel()
	d.spawnMu.Unlock()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.peers.Close()
	d.limiter.stopTimers()
	d.workers.Wait()
	d.engines.Close()
	d.metrics.close()
}

// CallersAddress returns the address of the port for callers.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// PeersAddress returns the address of the port for other VMs.
func (d *Daemon) PeersAddress() string { return d.listeners.peers.Addr().String() }

// AdminAddress returns the address of the port for health, metrics, status
// and drain.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// logAt returns a log entry with the VM, a step and the step's peer, which
// may be empty.
func (d *Daemon) logAt(step, peer string) logrus.FieldLogger {
	entry := observability.WithStep(d.log, observability.Step(step), peer)
	return entry.WithField(observability.FieldVM, string(d.settings.VMID))
}

// bootIDPrefixLength is how many characters of the boot ID an attempt ID
// contains. Attempt IDs are repeated with every token of a stream, so they
// are kept short.
const bootIDPrefixLength = 8

// nextAttemptID returns the ID of one attempt to send a request. It starts
// with the caller's request ID, so that endpoints' logs can be matched with
// it, and ends with a unique suffix, because callers may use a request ID
// twice.
func (d *Daemon) nextAttemptID(request ids.RequestID) ids.RequestID {
	suffix := string(d.settings.VMID) + "-" + string(d.bootID[:bootIDPrefixLength]) + "-" + strconv.FormatUint(d.attemptCounter.Add(1), 36)
	return request + "-" + ids.RequestID(suffix)
}

// queueKey identifies a queue. After a route's policy has changed, new
// requests wait in a queue with the new policy while the old queue empties.
type queueKey struct {
	baseModel string
	policy    records.Policy
}

// modelQueueFor returns the queue of a base model and policy and starts it on
// first use.
func (d *Daemon) modelQueueFor(baseModel string, policy records.Policy) *modelQueue {
	d.queueMu.Lock()
	defer d.queueMu.Unlock()
	key := queueKey{baseModel: baseModel, policy: policy}
	queue, ok := d.queues[key]
	if !ok {
		queue = newModelQueue(d, baseModel, policy)
		d.queues[key] = queue
		for _, id := range d.catalog.View().Customers() {
			if customer, known := d.catalog.View().Customer(id); known {
				queue.queue.SetWeight(id, customer.Weight)
			}
		}
		d.spawn(func() { queue.run(d.ctx) })
	}
	return queue
}

// allQueues returns the queues of all base models and policies.
func (d *Daemon) allQueues() []*modelQueue {
	d.queueMu.Lock()
	defer d.queueMu.Unlock()
	list := make([]*modelQueue, 0, len(d.queues))
	for _, queue := range d.queues {
		list = append(list, queue)
	}
	return list
}

// wakeQueued makes all queues check soon whether the waiting requests of an
// adapter version can be sent.
func (d *Daemon) wakeQueued(ref ids.AdapterRef) {
	for _, queue := range d.allQueues() {
		queue.wakeQueued(ref)
	}
}

// endAssignment ends a request's use of the pin and the endpoint that assign
// gave it.
func (d *Daemon) endAssignment(assigned assignment) {
	d.pinHolder.End(assigned.pin)
	d.routes.End(assigned.candidate.Endpoint)
}

// unreachableRetryInterval is how long this VM avoids an endpoint that
// refused or lost a connection before it tries the endpoint again. It is the
// interval at which the owner probes the endpoint.
const unreachableRetryInterval = probeInterval

// handleAttemptFailure counts and logs a failed attempt, and updates what
// routing and placement know about the endpoint.
func (d *Daemon) handleAttemptFailure(failure *engines.Failure, assigned assignment, ref ids.AdapterRef) {
	d.metrics.countFailedAttempt(failure)
	entry := d.logAt(failure.Step, string(failure.Endpoint)).WithError(failure)
	switch {
	case failure.Cause == engines.CauseCallerEnded:
		entry.Debug("attempt ended because its caller left or its deadline passed")
	default:
		entry.Warn("attempt failed")
	}
	switch {
	case failure.Cause == engines.CauseConnect:
		d.excludeTemporarily(failure.Endpoint)
	case failure.Status == statusNotFound:
		d.planner.MarkNotResident(failure.Endpoint, assigned.candidate.Boot, ref)
	}
}

// excludeTemporarily marks an endpoint as unreachable for
// unreachableRetryInterval. Afterwards its newest report decides.
func (d *Daemon) excludeTemporarily(id ids.EndpointID) {
	d.routes.SetReachable(id, false)
	d.planner.SetReachable(id, false)
	time.AfterFunc(unreachableRetryInterval, func() {
		reachable := d.reports.reachable(id)
		d.routes.SetReachable(id, reachable)
		d.planner.SetReachable(id, reachable)
	})
}

const (
	// sweepInterval is how often components remove expired state.
	sweepInterval = 5 * time.Second
	// tickInterval is how often time-driven work such as renewing pins and
	// updating gauges is done.
	tickInterval = time.Second
)

// runPeriodicTasks runs the components' periodic work until the daemon stops.
func (d *Daemon) runPeriodicTasks() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	sample := time.NewTicker(observability.SampleInterval)
	defer sample.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-tick.C:
			d.ownershipTable.Tick(now)
			d.relay.SetLoad(uint32(d.requestGate.openRequests()))
			d.metrics.update(now)
			d.ownershipDriver.maintainPins(now)
			d.ownershipDriver.requestHandovers(d.ownershipTable.PendingHandovers(now))
		case now := <-sweep.C:
			d.ownershipTable.Sweep(now)
			d.planner.Sweep(now)
			d.limiter.table.Sweep(now)
			d.idempotencyHome.Expire(now)
		case now := <-sample.C:
			d.metrics.serviceLevels.Sample(now)
		}
	}
}
