// Package control measures what entry daemons spend on control without
// requests: processor time, memory and peer traffic, over the number of
// records, of VMs in a data centre and of endpoints that a VM owns.
package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/proc"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// Times of one measurement.
const (
	readyWait = 60 * time.Second
	readyPoll = 100 * time.Millisecond
	// settleTime lets VMs find each other and the owners read their endpoints.
	settleTime  = 6 * time.Second
	measureTime = 10 * time.Second
	statusWait  = 2 * time.Second
)

// size is what one measurement runs with.
type size struct {
	adapters  int
	customers int
	vms       int
	engines   int
	// remote is the number of endpoint records of another region.
	remote int
}

// result is the mean over the VMs of one measurement.
type result struct {
	// cpu is in percent of one core, memory in bytes, traffic in bytes sent to
	// peers a second.
	cpu, memory, traffic float64
}

// The sizes of the three series. Each varies one of them.
var (
	adapterSizes = []int{10, 1_000, 4_000, 12_000}
	vmSizes      = []int{2, 4, 8, 14}
	engineSizes  = []int{1, 8, 24, 48}
	remoteSizes  = []int{1, 5_000, 10_000}
)

// base is what the series do not vary.
var base = size{adapters: 10, customers: 5, vms: 2, engines: 2}

// Command returns the subcommand of wagtailbench.
func Command() *cobra.Command {
	var binDir, out, only string
	command := &cobra.Command{
		Use:   "control",
		Short: "Measure processor time, memory and peer traffic of idle daemons",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			lines, err := measureAll(command.Context(), binDir, only)
			if err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Fprintf(command.OutOrStdout(), "%-36s %10.4g + %10.4g x  r2 %.3f  %v %s\n", line.Name, line.Intercept, line.Slope, line.R2, line.Points, line.Unit)
			}
			if out == "" {
				return nil
			}
			return slope.WriteFile(out, lines)
		},
	}
	command.Flags().StringVar(&binDir, "bin-dir", "bin", "directory of the wagtailspoked program")
	command.Flags().StringVar(&only, "only", "", "measure only the series whose name contains this text")
	command.Flags().StringVar(&out, "out", "", "file for the slopes as JSON")
	return command
}

// series measures one varied size.
type series struct {
	name, unit string
	sizes      []int
	vary       func(*size, int)
	// per divides the varied size among the VMs for the x axis.
	per func(size) float64
}

func allSeries() []series {
	return []series{
		{name: "adapter", unit: "adapter with its customer and key", sizes: adapterSizes,
			vary: func(s *size, n int) { s.adapters, s.customers = n, n }, per: func(s size) float64 { return float64(s.adapters) }},
		{name: "vm_of_data_centre", unit: "VM of the data centre", sizes: vmSizes,
			vary: func(s *size, n int) { s.vms = n }, per: func(s size) float64 { return float64(s.vms) }},
		{name: "owned_endpoint", unit: "endpoint that the VM owns", sizes: engineSizes,
			vary: func(s *size, n int) { s.engines, s.vms = n, 1 }, per: func(s size) float64 { return float64(s.engines) }},
		{name: "remote_endpoint", unit: "endpoint of another region, beside 12,000 adapters, customers and keys", sizes: remoteSizes,
			vary: func(s *size, n int) { s.remote, s.adapters, s.customers = n, 12_000, 12_000 }, per: func(s size) float64 { return float64(s.remote) }},
	}
}

func measureAll(ctx context.Context, binDir, only string) ([]slope.Slope, error) {
	const command = "wagtailbench control --out FILE"
	var lines []slope.Slope
	for _, one := range allSeries() {
		if !strings.Contains(one.name, only) {
			continue
		}
		var cpu, memory, traffic [][2]float64
		for _, n := range one.sizes {
			s := base
			one.vary(&s, n)
			got, err := measure(ctx, binDir, s)
			if err != nil {
				return nil, fmt.Errorf("%s %d: %w", one.name, n, err)
			}
			x := one.per(s)
			cpu = append(cpu, [2]float64{x, got.cpu})
			memory = append(memory, [2]float64{x, got.memory})
			traffic = append(traffic, [2]float64{x, got.traffic})
		}
		lines = append(lines,
			slope.Fit("control.cpu_per_"+one.name, "% of a core/"+one.unit, command, cpu),
			slope.Fit("control.memory_per_"+one.name, "B/"+one.unit, command, memory),
			slope.Fit("control.peer_bytes_per_"+one.name, "B/s/"+one.unit, command, traffic),
		)
	}
	return lines, nil
}

// vm is one daemon process.
type vm struct {
	command *exec.Cmd
	admin   string
}

// measure starts a fleet of one data centre and watches it without requests.
func measure(ctx context.Context, binDir string, s size) (result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	source, err := platform.Start(ctx, platform.Config{})
	if err != nil {
		return result{}, err
	}
	if err := publish(ctx, source, s); err != nil {
		return result{}, err
	}
	vms, err := startVMs(ctx, source, filepath.Join(binDir, "wagtailspoked"), s.vms)
	defer func() {
		for _, one := range vms {
			_ = one.command.Process.Kill()
			_ = one.command.Wait()
		}
	}()
	if err != nil {
		return result{}, err
	}
	if err := waitReady(ctx, vms); err != nil {
		return result{}, err
	}
	return watch(ctx, vms)
}

// putRecord publishes one record.
func putRecord(source *platform.Platform, kind records.Kind, id string, schema int, spec any) error {
	value, err := json.Marshal(map[string]any{"kind": kind, "schema": schema, "id": id, "spec": spec})
	if err != nil {
		return err
	}
	source.Put(string(kind)+"/"+id, value)
	return nil
}

func publish(ctx context.Context, source *platform.Platform, s size) error {
	put := func(kind records.Kind, id string, schema int, spec any) error {
		return putRecord(source, kind, id, schema, spec)
	}
	if err := put(records.KindDataCentre, "dc", 1, records.DataCentre{Region: "region", Seats: s.vms}); err != nil {
		return err
	}
	for i := range s.customers {
		id := fmt.Sprintf("customer-%d", i)
		hash := sha256.Sum256([]byte(id))
		if err := put(records.KindCustomer, id, 2, records.Customer{TokensPerSecond: 1000, BurstTokens: 5000}); err != nil {
			return err
		}
		if err := put(records.KindKey, id, 1, records.Key{Customer: ids.CustomerID(id), SHA256: hex.EncodeToString(hash[:])}); err != nil {
			return err
		}
	}
	for i := range s.adapters {
		id := fmt.Sprintf("adapter-%d", i)
		spec := records.Adapter{BaseModel: "base", DefaultVersion: 1, Versions: []records.Version{{Version: 1, State: records.VersionActive, Source: "/v1/adapters/" + id + "/1"}}}
		if err := put(records.KindAdapter, id, 1, spec); err != nil {
			return err
		}
	}
	for i := range s.engines {
		started, err := engine.Start(ctx, engine.Config{BaseModel: "base", Fencing: true})
		if err != nil {
			return err
		}
		spec := records.Endpoint{
			DataCentre: "dc", Kind: records.EndpointModel, Address: started.Address(), BaseModel: "base",
			Slots: engine.DefaultSlots, MaxBatch: engine.DefaultMaxBatch, Fencing: true, State: records.EndpointServing,
		}
		if err := put(records.KindEndpoint, fmt.Sprintf("engine-%d", i), 1, spec); err != nil {
			return err
		}
	}
	if err := put(records.KindDataCentre, "far", 1, records.DataCentre{Region: "far", Seats: 1}); err != nil {
		return err
	}
	for i := range s.remote {
		spec := records.Endpoint{
			DataCentre: "far", Kind: records.EndpointModel, Address: "127.0.0.1:1", BaseModel: "base",
			Slots: engine.DefaultSlots, MaxBatch: engine.DefaultMaxBatch, State: records.EndpointServing,
		}
		if err := put(records.KindEndpoint, fmt.Sprintf("far-engine-%d", i), 1, spec); err != nil {
			return err
		}
	}
	return put(records.KindWeightStore, "store", 1, records.WeightStore{LoadsPerSecond: 3, MaxInFlight: 8})
}

func startVMs(ctx context.Context, source *platform.Platform, binary string, count int) ([]vm, error) {
	var vms []vm
	var list []platformapi.VM
	for i := range count {
		addresses, err := proc.FreeAddresses(proc.Host(0, i+1), 3)
		if err != nil {
			return vms, err
		}
		id := fmt.Sprintf("vm-%d", i)
		command := exec.CommandContext(ctx, binary, "--vm-id="+id, "--data-centre=dc", "--region=region", "--log-level=error",
			"--listen-callers="+addresses[0], "--listen-peers="+addresses[1], "--listen-admin="+addresses[2],
			"--platform-address="+source.Address())
		if err := command.Start(); err != nil {
			return vms, err
		}
		vms = append(vms, vm{command: command, admin: addresses[2]})
		list = append(list, platformapi.VM{ID: ids.VMID(id), DataCentre: "dc", PeerAddress: addresses[1], State: platformapi.VMLive})
	}
	source.PutVMs(list)
	return vms, nil
}

// get reads one page of a VM's admin port.
func (v vm) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.admin+path, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, answer.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

func waitReady(ctx context.Context, vms []vm) error {
	deadline := time.Now().Add(readyWait)
	for _, one := range vms {
		for {
			err := one.get(ctx, admin.PathReadyz, nil)
			if err == nil {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("VM at %s is not ready: %w", one.admin, err)
			}
			time.Sleep(readyPoll)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// watch returns what the VMs spend in the mean over measureTime. Statuses are
// read outside the measured time, because a status of all customers and
// endpoints costs more than seconds of idling.
func watch(ctx context.Context, vms []vm) (result, error) {
	sentBefore, err := peerBytes(ctx, vms)
	if err != nil {
		return result{}, err
	}
	time.Sleep(time.Second)
	cpuBefore := cpuSeconds(vms)
	time.Sleep(measureTime)
	cpu := cpuSeconds(vms) - cpuBefore
	memory := residentBytes(vms)
	sentAfter, err := peerBytes(ctx, vms)
	if err != nil {
		return result{}, err
	}
	count, seconds := float64(len(vms)), measureTime.Seconds()
	return result{
		cpu:     100 * cpu / seconds / count,
		memory:  memory / count,
		traffic: (sentAfter - sentBefore) / (seconds + 1) / count,
	}, nil
}

// peerBytes adds up the bytes sent to peers. A VM's links count its requests
// and the replies to them; over all VMs the replies received are those sent.
func peerBytes(ctx context.Context, vms []vm) (float64, error) {
	sum := 0.0
	for _, one := range vms {
		var status admin.Status
		if err := one.get(ctx, admin.PathStatus, &status); err != nil {
			return 0, err
		}
		for _, peer := range status.Peers {
			sum += float64(peer.BytesOut + peer.BytesIn)
		}
	}
	return sum, nil
}

func cpuSeconds(vms []vm) float64 {
	sum := 0.0
	for _, one := range vms {
		sum += proc.CPU(one.command.Process.Pid).Seconds()
	}
	return sum
}

func residentBytes(vms []vm) float64 {
	sum := 0.0
	for _, one := range vms {
		sum += float64(proc.ResidentBytes(one.command.Process.Pid))
	}
	return sum
}
