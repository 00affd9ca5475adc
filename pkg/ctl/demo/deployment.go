package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/weights"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1/inferencev1connect"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/weightsapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
)

// Size, limits and simulated latencies of the deployment.
const (
	region               = "demo"
	baseModel            = "demo-base"
	serviceName          = "booking"
	enginesPerDataCentre = 2
	slotsPerEngine       = 4
	maxBatchPerEngine    = 8
	adapterCount         = 6
	vmsPerDataCentre     = 2
	seatsPerDataCentre   = vmsPerDataCentre + 1
	largeTokensPerSecond = 4000
	largeBurstTokens     = 12_000
	smallTokensPerMinute = 3600
	smallBurstTokens     = 240
	firstTokenTime       = 20 * time.Millisecond
	tokenTime            = 5 * time.Millisecond
	reportLag            = 300 * time.Millisecond
	serviceCallTime      = 10 * time.Millisecond
	maxIdleConnsPerHost  = 64
)

var dataCentres = []ids.DataCentreID{"dc-a", "dc-b"}

// Customers that send requests: one with high limits and one with low limits.
const (
	largeCustomer ids.CustomerID = "large"
	smallCustomer ids.CustomerID = "small"
)

// engineEndpoint is a simulated engine and the endpoint record under which it
// is published.
type engineEndpoint struct {
	id         ids.EndpointID
	dataCentre ids.DataCentreID
	fencing    bool
	*engine.Engine
}

// vm is an entry VM, its daemon, and a client for requests through it.
type vm struct {
	settings settings.Settings
	process  *process
	client   inferencev1connect.InferenceServiceClient
}

func (v *vm) id() ids.VMID { return v.settings.VMID }

// deployment holds all simulated systems and daemon processes of the
// demonstration.
type deployment struct {
	platform *platform.Platform
	store    *weights.Store
	engines  []engineEndpoint
	service  *service.Service
	vms      []*vm
	// daemonPath is the path of the daemon's binary; dir is the directory for
	// settings and log files.
	daemonPath, dir string
	// logFiles holds the log files of all daemons, including those that have
	// ended.
	logFiles []string
	// callerKeys holds the callers' secret keys, by the id of their record.
	callerKeys map[string]string
	httpClient *http.Client
}

// newDeployment starts the simulated systems and publishes the records and the
// VM list. It does not start the daemons.
func newDeployment(ctx context.Context) (*deployment, error) {
	d := &deployment{
		callerKeys: map[string]string{
			"large-1": "demo-" + uuid.NewString(),
			"large-2": "demo-" + uuid.NewString(),
			"small-1": "demo-" + uuid.NewString(),
		},
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}},
	}
	if err := d.startStandIns(ctx); err != nil {
		return nil, err
	}
	if err := d.publishRecords(); err != nil {
		return nil, err
	}
	if err := d.createVMs(); err != nil {
		return nil, err
	}
	d.publishVMList("")
	return d, nil
}

// startStandIns starts the simulated platform, weight store, service and
// engines.
func (d *deployment) startStandIns(ctx context.Context) (err error) {
	if d.platform, err = platform.Start(ctx, platform.Config{}); err != nil {
		return err
	}
	if d.store, err = weights.Start(ctx, weights.Config{}); err != nil {
		return err
	}
	if d.service, err = service.Start(ctx, service.Config{Name: serviceName, Time: serviceCallTime}); err != nil {
		return err
	}
	for _, dataCentre := range dataCentres {
		for i := range enginesPerDataCentre {
			endpoint := engineEndpoint{
				id:         ids.EndpointID(fmt.Sprintf("engine-%s-%d", dataCentre, i+1)),
				dataCentre: dataCentre,
				// One engine of each data centre checks fencing tokens.
				fencing: i == 0,
			}
			endpoint.Engine, err = engine.Start(ctx, engine.Config{
				BaseModel: baseModel, Slots: slotsPerEngine, MaxBatch: maxBatchPerEngine, Fencing: endpoint.fencing,
				FirstTokenTime: firstTokenTime, TokenTime: tokenTime,
				WeightStore: d.store.Address(), ReportLag: reportLag,
			})
			if err != nil {
				return err
			}
			d.engines = append(d.engines, endpoint)
		}
	}
	return nil
}

// publishRecord publishes a record after the same validation that "wagtailctl
// records check" does.
func (d *deployment) publishRecord(kind records.Kind, schema int, id string, spec any) error {
	value, err := json.Marshal(map[string]any{"kind": kind, "schema": schema, "id": id, "spec": spec})
	if err != nil {
		return err
	}
	key := string(kind) + "/" + id
	if _, err := records.Decode(key, value); err != nil {
		return err
	}
	d.platform.Put(key, value)
	return nil
}

// publishRecords publishes all records of the demonstration.
func (d *deployment) publishRecords() error {
	type record struct {
		kind   records.Kind
		schema int
		id     string
		spec   any
	}
	list := []record{
		{records.KindWeightStore, 1, "store", records.WeightStore{LoadsPerSecond: weights.DefaultLoadsPerSecond, MaxInFlight: weights.DefaultMaxInFlight}},
		{records.KindCustomer, 2, string(largeCustomer), records.Customer{TokensPerSecond: largeTokensPerSecond, BurstTokens: largeBurstTokens}},
		// The record of the small customer uses schema 1, which is still
		// valid.
		{records.KindCustomer, 1, string(smallCustomer), map[string]any{"tokensPerMinute": smallTokensPerMinute, "burstTokens": smallBurstTokens}},
		{records.KindRoute, 1, "models", records.Route{Kind: records.EndpointModel, PathPrefix: "/" + inferencev1connect.InferenceServiceName + "/", Region: region}},
		{records.KindRoute, 1, "booking", records.Route{Kind: records.EndpointService, PathPrefix: "/booking/", Service: serviceName, IdempotentMethods: []string{http.MethodGet}, Region: region}},
		{records.KindRoute, 1, "public", records.Route{Kind: records.EndpointService, PathPrefix: "/public/", Service: serviceName, Open: true, IdempotentMethods: []string{http.MethodGet}, Region: region}},
		{records.KindEndpoint, 1, "booking-1", records.Endpoint{DataCentre: dataCentres[0], Kind: records.EndpointService, Address: d.service.Address(), Service: serviceName, State: records.EndpointServing}},
	}
	for _, dataCentre := range dataCentres {
		list = append(list, record{records.KindDataCentre, 1, string(dataCentre), records.DataCentre{Region: region, Seats: seatsPerDataCentre}})
	}
	for id, key := range d.callerKeys {
		customer := largeCustomer
		if id == "small-1" {
			customer = smallCustomer
		}
		sum := sha256.Sum256([]byte(key))
		list = append(list, record{records.KindKey, 1, id, records.Key{Customer: customer, SHA256: hex.EncodeToString(sum[:])}})
	}
	for _, e := range d.engines {
		list = append(list, record{records.KindEndpoint, 1, string(e.id), records.Endpoint{
			DataCentre: e.dataCentre, Kind: records.EndpointModel, Address: e.Address(), BaseModel: baseModel,
			Slots: slotsPerEngine, MaxBatch: maxBatchPerEngine, Fencing: e.fencing, State: records.EndpointServing,
		}})
	}
	for _, r := range list {
		if err := d.publishRecord(r.kind, r.schema, r.id, r.spec); err != nil {
			return err
		}
	}
	for i := range adapterCount {
		if err := d.publishAdapter(adapterName(i), 1); err != nil {
			return err
		}
	}
	return nil
}

func adapterName(i int) ids.AdapterID { return ids.AdapterID(fmt.Sprintf("adapter-%d", i+1)) }

// publishAdapter publishes an adapter with the versions 1 to newest; newest is
// the default version.
func (d *deployment) publishAdapter(id ids.AdapterID, newest ids.AdapterVersion) error {
	spec := records.Adapter{BaseModel: baseModel, DefaultVersion: newest}
	for version := ids.AdapterVersion(1); version <= newest; version++ {
		spec.Versions = append(spec.Versions, records.Version{
			Version: version,
			State:   records.VersionActive,
			Source:  weightsapi.AdapterPath(ids.AdapterRef{Adapter: id, Version: version}),
		})
	}
	return d.publishRecord(records.KindAdapter, 1, string(id), spec)
}

// createVMs creates the VMs with free loopback ports. The ports must be chosen
// before the daemons start, because the daemons are separate processes and the
// VM list names their ports.
func (d *deployment) createVMs() error {
	for _, dataCentre := range dataCentres {
		for i := range vmsPerDataCentre {
			v, err := d.newVM(dataCentre, i+1)
			if err != nil {
				return err
			}
			d.vms = append(d.vms, v)
		}
	}
	return nil
}

// newVM returns a VM with default settings and free loopback ports. It does not
// start its daemon.
func (d *deployment) newVM(dataCentre ids.DataCentreID, number int) (*vm, error) {
	entry := settings.Defaults()
	entry.VMID = ids.VMID(fmt.Sprintf("vm-%s-%d", dataCentre, number))
	entry.DataCentre = dataCentre
	entry.Region = region
	// The most verbose level, so that the search of the logs for leaked keys
	// covers everything that can be logged.
	entry.Log.Level = "debug"
	entry.Platform.Address = d.platform.Address()
	for _, address := range []*string{&entry.Listen.Callers, &entry.Listen.Peers, &entry.Listen.Admin} {
		free, err := freeLoopbackAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	client := inferencev1connect.NewInferenceServiceClient(d.httpClient, "http://"+entry.Listen.Callers)
	return &vm{settings: entry, client: client}, nil
}

// freeLoopbackAddress returns a loopback address whose port was free a moment
// ago.
func freeLoopbackAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// publishVMList publishes the VM list. The VM with the id leaving, if any, is
// listed as leaving; an empty id lists all VMs as live.
func (d *deployment) publishVMList(leaving ids.VMID) {
	var list []platformapi.VM
	for _, v := range d.vms {
		state := platformapi.VMLive
		if v.id() == leaving {
			state = platformapi.VMLeaving
		}
		list = append(list, platformapi.VM{
			ID: v.id(), DataCentre: v.settings.DataCentre, PeerAddress: v.settings.Listen.Peers, State: state,
		})
	}
	d.platform.PutVMs(list)
}
