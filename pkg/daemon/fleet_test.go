package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1/inferencev1connect"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

const (
	testKey    = "wsk-test-secret-key-of-ember"
	testRegion = "north"
	readyWait  = 20 * time.Second
	callWait   = 20 * time.Second
)

// fleet is a set of in-process VMs with the stand-ins around them.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	platform *platform.Platform
	engines  map[ids.EndpointID]*engine.Engine
	services map[ids.EndpointID]*service.Service
	vms      map[ids.VMID]*Daemon
	order    []ids.VMID
}

// vmSpec names a VM and its data centre.
type vmSpec struct {
	id         ids.VMID
	dataCentre ids.DataCentreID
	fault      peers.FaultInjector
	rules      func(*rules)
}

// fleetSpec describes a fleet. Each data centre gets one engine, named
// engine-<data centre>, and one instance of the plain service.
type fleetSpec struct {
	vms    []vmSpec
	engine engine.Config
	// change edits the settings of every VM.
	change func(*settings.Settings)
}

func startFleet(t *testing.T, spec fleetSpec) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{
		t: t, ctx: ctx,
		engines:  make(map[ids.EndpointID]*engine.Engine),
		services: make(map[ids.EndpointID]*service.Service),
		vms:      make(map[ids.VMID]*Daemon),
	}
	var err error
	f.platform, err = platform.Start(ctx, platform.Config{})
	assert.NilError(t, err)
	f.publishBasics()
	seen := make(map[ids.DataCentreID]bool)
	for _, vm := range spec.vms {
		if !seen[vm.dataCentre] {
			seen[vm.dataCentre] = true
			f.addDataCentre(vm.dataCentre, spec.engine)
		}
	}
	f.startVMs(spec)
	f.waitReady()
	return f
}

// put publishes a record.
func (f *fleet) put(kind, id string, spec string) {
	f.platform.Put(kind+"/"+id, json.RawMessage(fmt.Sprintf(`{"kind":%q,"schema":%d,"id":%q,"spec":%s}`, kind, schemaOf(kind), id, spec)))
}

func schemaOf(kind string) int {
	if kind == "customer" {
		return 2
	}
	return 1
}

func (f *fleet) publishBasics() {
	sum := sha256.Sum256([]byte(testKey))
	f.put("customer", "ember", `{"tokensPerSecond":100000,"burstTokens":400000}`)
	f.put("key", "ember-1", fmt.Sprintf(`{"customer":"ember","sha256":%q}`, hex.EncodeToString(sum[:])))
	f.put("weightStore", "store", `{"loadsPerSecond":200,"maxInFlight":32}`)
	f.put("adapter", "poet", `{"baseModel":"base","versions":[{"version":1,"state":"active","source":"/v1/adapters/poet/1"},{"version":2,"state":"active","source":"/v1/adapters/poet/2"},{"version":3,"state":"withdrawn","source":"/v1/adapters/poet/3"}],"defaultVersion":2}`)
	f.put("route", "orders", `{"kind":"service","pathPrefix":"/orders","service":"orders","idempotentMethods":["GET"],"region":"north","timeoutMillis":5000}`)
	f.put("route", "open", `{"kind":"service","pathPrefix":"/open","service":"orders","open":true,"idempotentMethods":["GET"],"region":"north","timeoutMillis":5000}`)
}

func (f *fleet) addDataCentre(id ids.DataCentreID, config engine.Config) {
	f.put("dataCentre", string(id), `{"region":"north","seats":3}`)
	config.Fencing = true
	config.ReportEvery = 20 * time.Millisecond
	started, err := engine.Start(f.ctx, config)
	assert.NilError(f.t, err)
	name := ids.EndpointID("engine-" + string(id))
	f.engines[name] = started
	f.put("endpoint", string(name), fmt.Sprintf(`{"dataCentre":%q,"kind":"model","address":%q,"baseModel":"base","slots":8,"maxBatch":16,"fencing":true,"state":"serving"}`, id, started.Address()))
	plain, err := service.Start(f.ctx, service.Config{Name: "orders"})
	assert.NilError(f.t, err)
	name = ids.EndpointID("orders-" + string(id))
	f.services[name] = plain
	f.put("endpoint", string(name), fmt.Sprintf(`{"dataCentre":%q,"kind":"service","service":"orders","address":%q,"state":"serving"}`, id, plain.Address()))
}

// startVMs starts all VMs after the list that names them is published.
func (f *fleet) startVMs(spec fleetSpec) {
	var list []platformapi.VM
	for _, vm := range spec.vms {
		address := freeAddress(f.t)
		list = append(list, platformapi.VM{ID: vm.id, DataCentre: vm.dataCentre, PeerAddress: address, State: platformapi.VMLive})
		d := f.newVM(vm, address, spec.change)
		f.vms[vm.id] = d
		f.order = append(f.order, vm.id)
	}
	f.platform.PutVMs(list)
	for _, id := range f.order {
		assert.NilError(f.t, f.vms[id].Start())
		f.t.Cleanup(f.vms[id].Stop)
	}
}

func (f *fleet) newVM(vm vmSpec, address string, change func(*settings.Settings)) *Daemon {
	entry := settings.Defaults()
	entry.VMID, entry.DataCentre, entry.Region = vm.id, vm.dataCentre, testRegion
	entry.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: address, Admin: "127.0.0.1:0"}
	entry.Platform.Address = f.platform.Address()
	entry.Timeouts.FirstByte = 1000
	entry.Timeouts.BetweenBytes = 1000
	if change != nil {
		change(&entry)
	}
	options := Options{Fault: vm.fault, Version: "test", LogOutput: logOutput()}
	d := New(entry, options)
	if vm.rules != nil {
		vm.rules(&d.rules)
	}
	return d
}

// logOutput shows the log of the VMs when WAGTAILSPOKE_TEST_LOG is set.
func logOutput() io.Writer {
	if os.Getenv("WAGTAILSPOKE_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// eventually waits until check holds.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(readyWait)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) waitReady() {
	f.t.Helper()
	for _, id := range f.order {
		eventually(f.t, "ready "+string(id), func() bool {
			ready, _ := f.vms[id].Ready()
			return ready && f.vms[id].catalog.CompleteThrough() >= f.platform.Revision() && f.rateInForce(id)
		})
	}
}

// rateInForce tells whether a VM has its share of every customer's rate.
func (f *fleet) rateInForce(id ids.VMID) bool {
	customers := f.vms[id].tokens.table.Snapshot(time.Now()).Customers
	for _, customer := range customers {
		if customer.Rate == 0 {
			return false
		}
	}
	return len(customers) > 0
}

func (f *fleet) client(id ids.VMID) inferencev1connect.InferenceServiceClient {
	return inferencev1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+f.vms[id].CallersAddress())
}

// generate calls Generate on a VM with a key.
func (f *fleet) generate(id ids.VMID, key string, message *inferencev1.GenerateRequest) (*inferencev1.GenerateResponse, error) {
	ctx, cancel := context.WithTimeout(f.ctx, callWait)
	defer cancel()
	request := connect.NewRequest(message)
	if key != "" {
		request.Header().Set("Authorization", "Bearer "+key)
	}
	response, err := f.client(id).Generate(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// outcomeOf returns the RequestOutcome of an error.
func outcomeOf(t *testing.T, err error) *inferencev1.RequestOutcome {
	t.Helper()
	var failed *connect.Error
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	for _, detail := range failed.Details() {
		value, err := detail.Value()
		assert.NilError(t, err)
		if outcome, ok := value.(*inferencev1.RequestOutcome); ok {
			return outcome
		}
	}
	t.Fatalf("no RequestOutcome in %v", err)
	return nil
}

// call sends a pass-through request to a VM.
func (f *fleet) call(id ids.VMID, method, path, body string, header map[string]string) (*http.Response, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, callWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.vms[id].CallersAddress()+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response, string(answer)
}

// request sends a request without a body and returns the status and the body.
func (f *fleet) request(method, url string) (int, string) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.ctx, method, url, nil)
	assert.NilError(f.t, err)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, string(body)
}

// runs counts the runs of the plain service over all instances.
func (f *fleet) runs() int {
	total := 0
	for _, plain := range f.services {
		total += len(plain.Runs())
	}
	return total
}
