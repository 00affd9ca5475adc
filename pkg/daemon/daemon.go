// Package daemon assembles one entry VM: it holds the timers, goroutines and
// sockets around the decisions of pkg/coordination.
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

// rules switches single safety rules off in tests.
type rules struct {
	// keyAtDispatch checks a caller's key again right before its request
	// leaves and with each token.
	keyAtDispatch bool
	// drainWaits keeps a graceful shutdown from ending before all requests.
	drainWaits bool
	// claimKeys claims idempotency keys at their homes before a call.
	claimKeys bool
}

// Options are what tests replace.
type Options struct {
	// LogOutput receives the log.
	LogOutput io.Writer
	// Fault is given to the peer links.
	Fault peers.FaultInjector
	// Terms are those of ownership; zero stands for the design's.
	Terms ownership.Terms
	// Version is shown in the status.
	Version string
}

// Daemon is one entry VM.
type Daemon struct {
	settings settings.Settings
	options  Options
	rules    rules
	boot     ids.BootID
	started  time.Time
	log      *logrus.Logger
	metrics  *metrics

	catalog *catalog.Catalog
	members *membership.Members
	relay   *relay.Relay
	table   *ownership.Table
	holder  *ownership.PinHolder
	planner *placement.Planner
	routes  *routing.State
	claimer *idempotency.Claimer
	home    *idempotency.Home

	tokens   *tokens
	rights   *loadRights
	owner    *owner
	reports  *reportBook
	applied  *appliedBook
	services *servicePicker
	engines  *engines.Client
	peers    *peers.Node
	platform *platform.Client

	queueMu sync.Mutex
	queues  map[queueKey]*modelQueue

	// applyMu is held while records or lists are applied to all parts.
	applyMu sync.Mutex
	// through is the revision up to which all parts have applied all records.
	through atomic.Uint64
	listed  appliedList
	beats   beatLog
	pins    pinLog

	gate      gatekeeper
	committed atomic.Int64
	attempts  atomic.Uint64
	ready     atomic.Bool

	ctx       context.Context
	cancel    context.CancelFunc
	spawnMu   sync.Mutex
	workers   sync.WaitGroup
	listeners listeners
	servers   []*http.Server
}

// listeners are the three open ports of a VM.
type listeners struct {
	callers, peers, admin net.Listener
}

// idleRelease is how long an unused pin is kept. A pinned adapter cannot be
// evicted, so a longer time fills the slots of engines with adapters that
// were asked for once; a new pin costs one round trip inside the region.
const idleRelease = 2 * time.Second

// New assembles a VM without opening a port.
func New(entry settings.Settings, options Options) *Daemon {
	if options.LogOutput == nil {
		options.LogOutput = io.Discard
	}
	if options.Terms == (ownership.Terms{}) {
		options.Terms = ownership.DefaultTerms()
		options.Terms.PinIdleTimeout = idleRelease
	}
	now := time.Now()
	redactor := &observability.Redactor{}
	d := &Daemon{
		settings: entry,
		options:  options,
		rules:    rules{keyAtDispatch: true, drainWaits: true, claimKeys: true},
		boot:     ids.BootID(uuid.NewString()),
		started:  now,
		log:      observability.NewLogger(options.LogOutput, entry.Log.Level, redactor),
		catalog:  catalog.New(),
		members:  membership.New(entry.VMID, entry.DataCentre),
		holder:   ownership.NewPinHolder(options.Terms),
		planner:  placement.NewPlanner(placement.DefaultConfig(records.PolicyLatency)),
		queues:   make(map[queueKey]*modelQueue),
		platform: platform.New("http://"+entry.Platform.Address, source.HTTPClient(entry.Source)),
	}
	redactor.SetKeyLookup(d.isKeyHash)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.metrics = newMetrics(d, now)
	d.assemble(now)
	return d
}

// assemble builds the parts that need the daemon.
func (d *Daemon) assemble(now time.Time) {
	self := limits.VM{ID: d.settings.VMID, DataCentre: d.settings.DataCentre}
	limitsConfig := limits.DefaultConfig()
	limitsConfig.FirstBorrowID = uint64(now.UnixNano())
	table := limits.New(limitsConfig, self, now)
	d.tokens = newTokens(table)
	d.rights = &loadRights{daemon: d, slots: limits.NewSlots(limits.DefaultSlotConfig(), table), maxWanted: 2}
	d.table = ownership.New(ownership.Config{Self: d.settings.VMID, DataCentre: d.settings.DataCentre, Terms: d.options.Terms}, now)
	d.routes = routing.NewState(routing.DefaultStateConfig(d.settings.DataCentre, d.settings.Region), d.planner, pinView{d.holder})
	d.relay = relay.New(relay.Config{
		Boot:  d.boot,
		Start: now,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, d.members, d.catalog)
	d.claimer = idempotency.NewClaimer(d.boot, d.members)
	d.home = idempotency.NewHome(d.boot, now, d.members)
	d.owner = newOwner(d)
	d.reports = newReportBook(d)
	d.applied = newAppliedBook(d)
	d.services = newServicePicker(d)
	config := engines.DefaultConfig
	config.DialTimeout = d.settings.Timeouts.Connect.Duration()
	config.FirstByteTimeout = d.settings.Timeouts.FirstByte.Duration()
	config.ReadTimeout = d.settings.Timeouts.BetweenBytes.Duration()
	config.MaxIdlePerEndpoint = int(d.settings.Limits.MaxEndpointConnections)
	config.SourceIP = d.settings.Source
	d.engines = engines.New(config)
	d.peers = peers.New(peers.Config{
		Self:          peers.Sender{VM: d.settings.VMID, Boot: d.boot},
		Registry:      d.registry(),
		SourceIP:      d.settings.Source,
		FaultInjector: d.options.Fault,
		Logger:        d.log,
	})
	d.connectLimits()
}

// pinView lets routing see the pins that the VM holds.
type pinView struct{ holder *ownership.PinHolder }

// Covers implements routing.Pins.
func (v pinView) Covers(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef, deadline time.Time) bool {
	return v.holder.Covers(now, peer.PinKey{Endpoint: endpoint, Ref: ref}, deadline)
}

// registry lists the messages that the VM answers.
func (d *Daemon) registry() *peers.Registry {
	registry := peers.NewRegistry()
	d.handleSync(registry)
	d.handleLimits(registry)
	d.handleStore(registry)
	d.handleOwnership(registry)
	d.handleClaims(registry)
	return registry
}

// Start opens the ports and starts serving. It returns at once.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		return err
	}
	d.spawn(func() {
		if err := d.peers.Serve(d.listeners.peers); err != nil {
			d.at("serve peers", "").WithError(err).Error("peer listener failed")
		}
	})
	server := callers.NewServer(d, callers.Limits{
		MaxBodyBytes:   d.settings.Limits.MaxBodyBytes,
		RequestTimeout: d.settings.Timeouts.Request.Duration(),
	})
	server.Handler = d.closeWhileDraining(server.Handler)
	d.serve("serve callers", server, d.listeners.callers)
	d.serve("serve admin", admin.NewServer(d, d.metrics.handler()), d.listeners.admin)
	d.spawn(d.syncLoop)
	d.spawn(d.owner.run)
	d.spawn(d.housekeep)
	d.at("start", "").WithFields(logrus.Fields{
		"callers": d.CallersAddress(),
		"peers":   d.PeersAddress(),
		"admin":   d.AdminAddress(),
		"boot":    d.boot,
	}).Info("listening")
	return nil
}

func (d *Daemon) listen() error {
	for _, port := range []struct {
		name, address string
		into          *net.Listener
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
		*port.into = listener
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

func (d *Daemon) serve(step string, server *http.Server, listener net.Listener) {
	d.servers = append(d.servers, server)
	d.spawn(func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			d.at(step, "").WithError(err).Error("listener failed")
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

// Stop ends the VM at once, as a kill would. Open requests are cut.
func (d *Daemon) Stop() {
	d.spawnMu.Lock()
	d.cancel()
	d.spawnMu.Unlock()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.peers.Close()
	d.tokens.stop()
	d.workers.Wait()
	d.engines.Close()
	d.metrics.close()
}

// CallersAddress returns the address that callers use.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// PeersAddress returns the address that other VMs use.
func (d *Daemon) PeersAddress() string { return d.listeners.peers.Addr().String() }

// AdminAddress returns the address of health, metrics, status and drain.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// at returns a log entry for a step with a peer, which may be empty.
func (d *Daemon) at(step, peer string) logrus.FieldLogger {
	entry := observability.WithStep(d.log, observability.Step(step), peer)
	return entry.WithField(observability.FieldVM, string(d.settings.VMID))
}

// bootMark is how much of the boot id stands in the names of attempts, which
// are repeated with every token of a stream.
const bootMark = 8

// nextAttempt names one sending of a request: the caller's name, so that
// endpoints' logs can be matched with it, and a mark that no other attempt
// has, because callers may use a name twice.
func (d *Daemon) nextAttempt(request ids.RequestID) ids.RequestID {
	mark := string(d.settings.VMID) + "-" + string(d.boot[:bootMark]) + "-" + strconv.FormatUint(d.attempts.Add(1), 36)
	return request + "-" + ids.RequestID(mark)
}

// queueKey names a queue. After a route's policy changed, new requests wait in
// a queue of the new policy while the old one runs empty.
type queueKey struct {
	baseModel string
	policy    records.Policy
}

// queueOf returns the queue of a base model and starts it on first use.
func (d *Daemon) queueOf(baseModel string, policy records.Policy) *modelQueue {
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

// allQueues lists the queues of all base models.
func (d *Daemon) allQueues() []*modelQueue {
	d.queueMu.Lock()
	defer d.queueMu.Unlock()
	list := make([]*modelQueue, 0, len(d.queues))
	for _, queue := range d.queues {
		list = append(list, queue)
	}
	return list
}

// wakeAdapter has the waiting requests of an adapter version looked at soon.
func (d *Daemon) wakeAdapter(ref ids.AdapterRef) {
	for _, queue := range d.allQueues() {
		queue.wakeAdapter(ref)
	}
}

// release ends what assign began.
func (d *Daemon) release(assigned assignment) {
	d.holder.End(assigned.pin)
	d.routes.End(assigned.candidate.Endpoint)
}

// unreachableTerm is how long an endpoint that refused or lost a connection
// is passed over before this VM tries it again. It is the interval at which
// the owner probes it.
const unreachableTerm = probeInterval

// noteFailure learns from a failed attempt.
func (d *Daemon) noteFailure(failure *engines.Failure, assigned assignment, ref ids.AdapterRef) {
	d.metrics.attemptFailed(failure)
	entry := d.at(failure.Step, string(failure.Endpoint)).WithError(failure)
	switch {
	case failure.Cause == engines.CauseCallerEnded:
		entry.Debug("attempt ended with its caller or deadline")
	default:
		entry.Warn("attempt failed")
	}
	switch {
	case failure.Cause == engines.CauseConnect:
		d.passOver(failure.Endpoint)
	case failure.Status == statusNotFound:
		d.planner.MarkNotResident(failure.Endpoint, assigned.candidate.Boot, ref)
	}
}

// passOver takes an endpoint out of use for a short while.
func (d *Daemon) passOver(id ids.EndpointID) {
	d.routes.SetReachable(id, false)
	d.planner.SetReachable(id, false)
	time.AfterFunc(unreachableTerm, func() {
		reachable := d.reports.reachable(id)
		d.routes.SetReachable(id, reachable)
		d.planner.SetReachable(id, reachable)
	})
}

const (
	sweepInterval = 5 * time.Second
	tickInterval  = time.Second
)

// housekeep does what is due each second or few.
func (d *Daemon) housekeep() {
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
			d.table.Tick(now)
			d.relay.SetLoad(uint32(d.gate.open()))
			d.metrics.update(now)
			d.owner.upkeep(now)
			d.owner.askFormerOwners(d.table.PendingHandovers(now))
		case now := <-sweep.C:
			d.table.Sweep(now)
			d.planner.Sweep(now)
			d.tokens.table.Sweep(now)
			d.home.Expire(now)
		case now := <-sample.C:
			d.metrics.levels.Sample(now)
		}
	}
}
