package faults

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/proc"
	"github.com/wagtailspoke/wagtailspoke/internal/netfault"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/weights"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/weightsapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// The size of the cluster of one run.
const (
	dataCentres          = 3
	vmsPerDataCentre     = 2
	enginesPerDataCentre = 2
	engineSlots          = 8
	engineBatch          = 8
	adapters             = 32
	// storeLoadsPerSecond is above the real store's 3 a second, so that short
	// runs see many loads and evictions.
	storeLoadsPerSecond = 20
	storeMaxInFlight    = 8
	region              = "region"
	baseModel           = "base"
	orderService        = "orders"
	orderPath           = "/orders/"
	// platformHost names the platform in the network.
	platformHost netfault.Host = "platform"
	readyWait                  = 20 * time.Second
	readyPoll                  = 50 * time.Millisecond
	// warmUp is the time in which a fresh VM must assume that a former owner
	// still has rights, and that a key may have been used before its start.
	warmUp         = 20 * time.Second
	firstTokenTime = 5 * time.Millisecond
	tokenTime      = time.Millisecond
	storeLoadTime  = 20 * time.Millisecond
	tightRate      = 400
	tightBurst     = 2_000
	wideRate       = 50_000
	wideBurst      = 200_000
)

// The customers of a run. The tight one offers more than its rate.
const (
	tightCustomer ids.CustomerID = "tight"
	wideCustomer  ids.CustomerID = "wide"
	otherCustomer ids.CustomerID = "other"
)

var customers = []ids.CustomerID{tightCustomer, wideCustomer, otherCustomer}

// cluster is a set of entry daemons with stand-ins of all that they meet.
type cluster struct {
	ctx       context.Context
	binary    string
	directory string
	// index selects the loopback addresses, so that runs do not meet.
	index    int
	network  *netfault.Network
	platform *platform.Platform
	weights  *weights.Store
	engines  map[ids.EndpointID]*engine.Engine
	services map[ids.EndpointID]*service.Service
	// endpointSpecs holds the endpoint records as first published.
	endpointSpecs map[ids.EndpointID]records.Endpoint
	client        *http.Client

	mu        sync.Mutex
	processes []*process
	listed    []platformapi.VM
	nextVM    int
	// gone keeps processes that were killed or drained, for their logs.
	gone []*process
	// isolated holds VMs that were cut off at some time of the run, for which
	// promises on freshness do not hold.
	isolated map[ids.VMID]bool
}

func dataCentreID(index int) ids.DataCentreID {
	return ids.DataCentreID(fmt.Sprintf("dc%d", index))
}

// newCluster starts stand-ins and daemons and waits until all are ready.
func newCluster(ctx context.Context, binary, directory string, index int) (*cluster, error) {
	c := &cluster{
		ctx: ctx, binary: binary, directory: directory, index: index,
		network:       netfault.New(),
		engines:       make(map[ids.EndpointID]*engine.Engine),
		services:      make(map[ids.EndpointID]*service.Service),
		endpointSpecs: make(map[ids.EndpointID]records.Endpoint),
		isolated:      make(map[ids.VMID]bool),
		client:        &http.Client{},
	}
	if err := c.startStandIns(); err != nil {
		return c, err
	}
	for dc := range dataCentres {
		for range vmsPerDataCentre {
			if _, err := c.startVM(dataCentreID(dc)); err != nil {
				return c, err
			}
		}
	}
	c.publishList()
	if err := c.waitReady(); err != nil {
		return c, err
	}
	sleep(ctx, warmUp)
	return c, nil
}

func (c *cluster) startStandIns() error {
	var err error
	if c.platform, err = platform.Start(c.ctx, platform.Config{}); err != nil {
		return err
	}
	c.weights, err = weights.Start(c.ctx, weights.Config{
		LoadsPerSecond: storeLoadsPerSecond, MaxInFlight: storeMaxInFlight, LoadTime: storeLoadTime,
	})
	if err != nil {
		return err
	}
	for dc := range dataCentres {
		if err := c.startEndpoints(dc); err != nil {
			return err
		}
	}
	c.publishRecords()
	return nil
}

func (c *cluster) startEndpoints(dc int) error {
	for i := range enginesPerDataCentre {
		id := ids.EndpointID(fmt.Sprintf("engine-%d-%d", dc, i))
		// Half of the engines ignore fencing tokens.
		started, err := engine.Start(c.ctx, engine.Config{
			BaseModel: baseModel, Slots: engineSlots, MaxBatch: engineBatch,
			FirstTokenTime: firstTokenTime, TokenTime: tokenTime,
			Fencing: i == 0, WeightStore: c.weights.Address(), ReportLag: 200 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		c.engines[id] = started
		if err := c.publishEndpoint(id, dc, started.Address()); err != nil {
			return err
		}
	}
	id := ids.EndpointID(fmt.Sprintf("orders-%d", dc))
	started, err := service.Start(c.ctx, service.Config{Name: orderService, Time: 5 * time.Millisecond})
	if err != nil {
		return err
	}
	c.services[id] = started
	return c.publishEndpoint(id, dc, started.Address())
}

// publishEndpoint publishes an endpoint behind a forwarder, so that the links
// from VMs of other data centres can be cut.
func (c *cluster) publishEndpoint(id ids.EndpointID, dc int, target string) error {
	address, err := c.network.Forward(c.ctx, endpointHost(id), target)
	if err != nil {
		return err
	}
	spec := records.Endpoint{DataCentre: dataCentreID(dc), Address: address, State: records.EndpointServing}
	if started, isEngine := c.engines[id]; isEngine && started != nil {
		spec.Kind, spec.BaseModel = records.EndpointModel, baseModel
		spec.Slots, spec.MaxBatch = engineSlots, engineBatch
		spec.Fencing = id[len(id)-1] == '0'
	} else {
		spec.Kind, spec.Service = records.EndpointService, orderService
	}
	c.endpointSpecs[id] = spec
	c.put(records.KindEndpoint, string(id), 1, spec)
	return nil
}

func endpointHost(id ids.EndpointID) netfault.Host { return netfault.Host("endpoint/" + string(id)) }

// put publishes one record.
func (c *cluster) put(kind records.Kind, id string, schema int, spec any) ids.Revision {
	value, err := json.Marshal(map[string]any{"kind": kind, "schema": schema, "id": id, "spec": spec})
	if err != nil {
		panic(err) // The specs are values of this package; encoding cannot fail.
	}
	return c.platform.Put(string(kind)+"/"+id, value)
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// keyOf returns the key of a customer. The spare key is withdrawn in the run.
func keyOf(customer ids.CustomerID) string { return "sk-live-" + string(customer) + "-4f1c9a72" }

const (
	spareKey   = "sk-spare-key-0d93b8e1"
	spareKeyID = "spare"
	// wrongKey belongs to no customer.
	wrongKey = "sk-wrong-key-7be20c55"
)

func (c *cluster) publishRecords() {
	for dc := range dataCentres {
		// One seat more than VMs lets a replacement overlap the VM that it
		// replaces.
		c.put(records.KindDataCentre, string(dataCentreID(dc)), 1, records.DataCentre{Region: region, Seats: vmsPerDataCentre + 1})
	}
	for _, customer := range customers {
		spec := records.Customer{TokensPerSecond: wideRate, BurstTokens: wideBurst}
		if customer == tightCustomer {
			spec.TokensPerSecond, spec.BurstTokens = tightRate, tightBurst
		}
		c.put(records.KindCustomer, string(customer), 2, spec)
		c.put(records.KindKey, string(customer), 1, records.Key{Customer: customer, SHA256: keyHash(keyOf(customer))})
	}
	c.put(records.KindKey, spareKeyID, 1, records.Key{Customer: otherCustomer, SHA256: keyHash(spareKey)})
	for i := range adapters {
		c.putAdapter(i, 1)
	}
	c.put(records.KindRoute, orderService, 1, records.Route{
		Kind: records.EndpointService, PathPrefix: orderPath, Service: orderService,
		IdempotentMethods: []string{http.MethodGet}, RepeatWindowSeconds: 60, Region: region, TimeoutMillis: 3000,
	})
	c.put(records.KindWeightStore, "store", 1, records.WeightStore{LoadsPerSecond: storeLoadsPerSecond, MaxInFlight: storeMaxInFlight})
}

func adapterID(index int) ids.AdapterID { return ids.AdapterID(fmt.Sprintf("adapter%d", index)) }

// putAdapter publishes an adapter with all versions up to newest active.
func (c *cluster) putAdapter(index int, newest ids.AdapterVersion) ids.Revision {
	spec := records.Adapter{BaseModel: baseModel, DefaultVersion: newest}
	for version := ids.AdapterVersion(1); version <= newest; version++ {
		ref := ids.AdapterRef{Adapter: adapterID(index), Version: version}
		spec.Versions = append(spec.Versions, records.Version{
			Version: version, State: records.VersionActive,
			Source: fmt.Sprintf("%s%s/%d", weightsapi.PathAdapters, ref.Adapter, ref.Version),
		})
	}
	return c.put(records.KindAdapter, string(adapterID(index)), 1, spec)
}

// startVM starts one more entry daemon and adds it to the list.
func (c *cluster) startVM(dc ids.DataCentreID) (*process, error) {
	c.mu.Lock()
	c.nextVM++
	number := c.nextVM
	c.mu.Unlock()
	host := proc.Host(c.index, number)
	id := ids.VMID(fmt.Sprintf("vm%d", number))
	c.network.AddHost(netfault.Host(id), host)
	entry := settings.Defaults()
	entry.VMID, entry.DataCentre, entry.Region = id, dc, region
	entry.Source = host.String()
	entry.Timeouts.FirstByte = 1500
	free, err := proc.FreeAddresses(host, 3)
	if err != nil {
		return nil, err
	}
	entry.Listen = settings.Listen{Callers: free[0], Peers: free[1], Admin: free[2]}
	if entry.Platform.Address, err = c.network.Forward(c.ctx, platformHost, c.platform.Address()); err != nil {
		return nil, err
	}
	peerAddress, err := c.network.Forward(c.ctx, netfault.Host(id), entry.Listen.Peers)
	if err != nil {
		return nil, err
	}
	started, err := startProcess(c.binary, c.directory, entry)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, started)
	c.listed = append(c.listed, platformapi.VM{ID: id, DataCentre: dc, PeerAddress: peerAddress, State: platformapi.VMLive})
	return started, nil
}

// publishList publishes the VM list as it stands.
func (c *cluster) publishList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platform.PutVMs(slices.Clone(c.listed))
}

// remove takes a VM out of the list.
func (c *cluster) remove(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = slices.DeleteFunc(c.listed, func(vm platformapi.VM) bool { return vm.ID == p.vm })
	c.processes = slices.DeleteFunc(c.processes, func(other *process) bool { return other == p })
	c.gone = append(c.gone, p)
}

// replace starts a VM in the place of one that has ended and publishes the
// list.
func (c *cluster) replace(p *process) error {
	c.remove(p)
	if _, err := c.startVM(p.dataCentre); err != nil {
		return err
	}
	c.publishList()
	return nil
}

// vms returns the daemons that are part of the cluster now.
func (c *cluster) vms() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.processes)
}

// vmsOf returns the daemons of one data centre.
func (c *cluster) vmsOf(dc ids.DataCentreID) []*process {
	return slices.DeleteFunc(c.vms(), func(p *process) bool { return p.dataCentre != dc })
}

// isolate notes that a VM is cut off from the platform and from fresher peers.
func (c *cluster) isolate(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[p.vm] = true
}

var errNotReady = errors.New("a VM did not get ready in time")

func (c *cluster) waitReady() error {
	deadline := time.Now().Add(readyWait)
	for _, p := range c.vms() {
		for {
			if _, ok := p.get(c.ctx, c.client, admin.PathReadyz); ok {
				break
			}
			if !p.running() || time.Now().After(deadline) {
				return fmt.Errorf("%w: %s: %s", errNotReady, p.vm, lastLines(p.logs.text()))
			}
			if !sleep(c.ctx, readyPoll) {
				return c.ctx.Err()
			}
		}
	}
	return nil
}

// shownLogBytes bounds the log that an error message quotes.
const shownLogBytes = 2000

func lastLines(text string) string {
	if len(text) > shownLogBytes {
		return text[len(text)-shownLogBytes:]
	}
	return text
}

// close ends all daemons.
func (c *cluster) close() {
	for _, p := range c.vms() {
		p.kill()
	}
	c.client.CloseIdleConnections()
}

// cutDataCentre cuts the links of a data centre to the other ones and, if
// wanted, to the platform. The returned function heals them.
func (c *cluster) cutDataCentre(dc ids.DataCentreID, platformToo bool) (heal func()) {
	type pair struct{ a, b netfault.Host }
	var pairs []pair
	for _, inside := range c.vmsOf(dc) {
		for _, outside := range c.vms() {
			if outside.dataCentre != dc {
				pairs = append(pairs, pair{netfault.Host(inside.vm), netfault.Host(outside.vm)})
			}
		}
		if platformToo {
			c.isolate(inside)
			pairs = append(pairs, pair{netfault.Host(inside.vm), platformHost})
		}
	}
	for id, endpointDC := range c.endpointCentres() {
		for _, p := range c.vms() {
			if (p.dataCentre == dc) != (endpointDC == dc) {
				pairs = append(pairs, pair{netfault.Host(p.vm), endpointHost(id)})
			}
		}
	}
	for _, p := range pairs {
		c.network.Cut(p.a, p.b)
	}
	return func() {
		for _, p := range pairs {
			c.network.Heal(p.a, p.b)
		}
	}
}

// endpointCentres returns the data centre of each endpoint.
func (c *cluster) endpointCentres() map[ids.EndpointID]ids.DataCentreID {
	centres := make(map[ids.EndpointID]ids.DataCentreID)
	for dc := range dataCentres {
		for i := range enginesPerDataCentre {
			centres[ids.EndpointID(fmt.Sprintf("engine-%d-%d", dc, i))] = dataCentreID(dc)
		}
		centres[ids.EndpointID(fmt.Sprintf("orders-%d", dc))] = dataCentreID(dc)
	}
	return centres
}
