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

// The size of the demonstration.
const (
	region                = "demo"
	baseModel             = "demo-base"
	serviceName           = "booking"
	enginesPerDataCentre  = 2
	slots                 = 4
	maxBatch              = 8
	adapters              = 6
	vmsPerDataCentre      = 2
	seats                 = vmsPerDataCentre + 1
	largeTokensPerSecond  = 4000
	largeBurst            = 12_000
	smallTokensPerMinute  = 3600
	smallBurst            = 240
	firstTokenTime        = 20 * time.Millisecond
	tokenTime             = 5 * time.Millisecond
	reportLag             = 300 * time.Millisecond
	serviceTime           = 10 * time.Millisecond
	endpointWarmTransport = 64
)

var dataCentres = []ids.DataCentreID{"dc-a", "dc-b"}

// The customers of the demonstration.
const (
	large ids.CustomerID = "large"
	small ids.CustomerID = "small"
)

// namedEngine is an engine and its endpoint id.
type namedEngine struct {
	id         ids.EndpointID
	dataCentre ids.DataCentreID
	fencing    bool
	*engine.Engine
}

// vm is an entry VM and a client for it.
type vm struct {
	settings settings.Settings
	process  *process
	client   inferencev1connect.InferenceServiceClient
}

func (v *vm) id() ids.VMID { return v.settings.VMID }

// world holds all processes of the demonstration.
type world struct {
	platform *platform.Platform
	store    *weights.Weights
	engines  []namedEngine
	service  *service.Service
	vms      []*vm
	// binary is the path of the daemon, dir where settings and logs go.
	binary, dir string
	// logs holds the log files of all daemons.
	logs []string
	// keys holds the secret keys by the id of their record.
	keys map[string]string
	http *http.Client
}

// newWorld starts the stand-ins and publishes the records and the VM list.
func newWorld(ctx context.Context) (*world, error) {
	w := &world{
		keys: map[string]string{
			"large-1": "demo-" + uuid.NewString(),
			"large-2": "demo-" + uuid.NewString(),
			"small-1": "demo-" + uuid.NewString(),
		},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endpointWarmTransport}},
	}
	if err := w.startStandIns(ctx); err != nil {
		return nil, err
	}
	if err := w.publishAll(); err != nil {
		return nil, err
	}
	if err := w.chooseAddresses(); err != nil {
		return nil, err
	}
	w.publishVMs("")
	return w, nil
}

func (w *world) startStandIns(ctx context.Context) (err error) {
	if w.platform, err = platform.Start(ctx, platform.Config{}); err != nil {
		return err
	}
	if w.store, err = weights.Start(ctx, weights.Config{}); err != nil {
		return err
	}
	if w.service, err = service.Start(ctx, service.Config{Name: serviceName, Time: serviceTime}); err != nil {
		return err
	}
	for _, dataCentre := range dataCentres {
		for i := range enginesPerDataCentre {
			named := namedEngine{
				id:         ids.EndpointID(fmt.Sprintf("engine-%s-%d", dataCentre, i+1)),
				dataCentre: dataCentre,
				// One engine of each data centre honours fencing tokens.
				fencing: i == 0,
			}
			named.Engine, err = engine.Start(ctx, engine.Config{
				BaseModel: baseModel, Slots: slots, MaxBatch: maxBatch, Fencing: named.fencing,
				FirstTokenTime: firstTokenTime, TokenTime: tokenTime,
				WeightStore: w.store.Address(), ReportLag: reportLag,
			})
			if err != nil {
				return err
			}
			w.engines = append(w.engines, named)
		}
	}
	return nil
}

// publish publishes a record, after the same check that operators run.
func (w *world) publish(kind records.Kind, schema int, id string, spec any) error {
	value, err := json.Marshal(map[string]any{"kind": kind, "schema": schema, "id": id, "spec": spec})
	if err != nil {
		return err
	}
	key := string(kind) + "/" + id
	if _, err := records.Decode(key, value); err != nil {
		return err
	}
	w.platform.Put(key, value)
	return nil
}

func (w *world) publishAll() error {
	type record struct {
		kind   records.Kind
		schema int
		id     string
		spec   any
	}
	list := []record{
		{records.KindWeightStore, 1, "store", records.WeightStore{LoadsPerSecond: weights.DefaultLoadsPerSecond, MaxInFlight: weights.DefaultMaxInFlight}},
		{records.KindCustomer, 2, string(large), records.Customer{TokensPerSecond: largeTokensPerSecond, BurstTokens: largeBurst}},
		// The small customer's record has the older schema, which stays valid.
		{records.KindCustomer, 1, string(small), map[string]any{"tokensPerMinute": smallTokensPerMinute, "burstTokens": smallBurst}},
		{records.KindRoute, 1, "models", records.Route{Kind: records.EndpointModel, PathPrefix: "/" + inferencev1connect.InferenceServiceName + "/", Region: region}},
		{records.KindRoute, 1, "booking", records.Route{Kind: records.EndpointService, PathPrefix: "/booking/", Service: serviceName, IdempotentMethods: []string{http.MethodGet}, Region: region}},
		{records.KindRoute, 1, "public", records.Route{Kind: records.EndpointService, PathPrefix: "/public/", Service: serviceName, Open: true, IdempotentMethods: []string{http.MethodGet}, Region: region}},
		{records.KindEndpoint, 1, "booking-1", records.Endpoint{DataCentre: dataCentres[0], Kind: records.EndpointService, Address: w.service.Address(), Service: serviceName, State: records.EndpointServing}},
	}
	for _, dataCentre := range dataCentres {
		list = append(list, record{records.KindDataCentre, 1, string(dataCentre), records.DataCentre{Region: region, Seats: seats}})
	}
	for id, key := range w.keys {
		customer := large
		if id == "small-1" {
			customer = small
		}
		sum := sha256.Sum256([]byte(key))
		list = append(list, record{records.KindKey, 1, id, records.Key{Customer: customer, SHA256: hex.EncodeToString(sum[:])}})
	}
	for _, e := range w.engines {
		list = append(list, record{records.KindEndpoint, 1, string(e.id), records.Endpoint{
			DataCentre: e.dataCentre, Kind: records.EndpointModel, Address: e.Address(), BaseModel: baseModel,
			Slots: slots, MaxBatch: maxBatch, Fencing: e.fencing, State: records.EndpointServing,
		}})
	}
	for _, r := range list {
		if err := w.publish(r.kind, r.schema, r.id, r.spec); err != nil {
			return err
		}
	}
	for i := range adapters {
		if err := w.publishAdapter(adapterName(i), 1); err != nil {
			return err
		}
	}
	return nil
}

func adapterName(i int) ids.AdapterID { return ids.AdapterID(fmt.Sprintf("adapter-%d", i+1)) }

// publishAdapter publishes an adapter with the versions up to the given one,
// which is the default.
func (w *world) publishAdapter(id ids.AdapterID, newest ids.AdapterVersion) error {
	spec := records.Adapter{BaseModel: baseModel, DefaultVersion: newest}
	for version := ids.AdapterVersion(1); version <= newest; version++ {
		spec.Versions = append(spec.Versions, records.Version{
			Version: version,
			State:   records.VersionActive,
			Source:  weightsapi.AdapterPath(ids.AdapterRef{Adapter: id, Version: version}),
		})
	}
	return w.publish(records.KindAdapter, 1, string(id), spec)
}

// chooseAddresses gives each VM free loopback ports. The daemons run as other
// processes, and the VM list must name their ports before they start.
func (w *world) chooseAddresses() error {
	for _, dataCentre := range dataCentres {
		for i := range vmsPerDataCentre {
			v, err := w.newVM(dataCentre, i+1)
			if err != nil {
				return err
			}
			w.vms = append(w.vms, v)
		}
	}
	return nil
}

func (w *world) newVM(dataCentre ids.DataCentreID, number int) (*vm, error) {
	entry := settings.Defaults()
	entry.VMID = ids.VMID(fmt.Sprintf("vm-%s-%d", dataCentre, number))
	entry.DataCentre = dataCentre
	entry.Region = region
	// The search of the logs for keys covers all that can be logged.
	entry.Log.Level = "debug"
	entry.Platform.Address = w.platform.Address()
	for _, address := range []*string{&entry.Listen.Callers, &entry.Listen.Peers, &entry.Listen.Admin} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	client := inferencev1connect.NewInferenceServiceClient(w.http, "http://"+entry.Listen.Callers)
	return &vm{settings: entry, client: client}, nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// publishVMs publishes the VM list, with one VM as leaving if it is named.
func (w *world) publishVMs(leaving ids.VMID) {
	var list []platformapi.VM
	for _, v := range w.vms {
		state := platformapi.VMLive
		if v.id() == leaving {
			state = platformapi.VMLeaving
		}
		list = append(list, platformapi.VM{
			ID: v.id(), DataCentre: v.settings.DataCentre, PeerAddress: v.settings.Listen.Peers, State: state,
		})
	}
	w.platform.PutVMs(list)
}
