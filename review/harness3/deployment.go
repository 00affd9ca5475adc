package harness3

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Heartbeat is how often a worker writes its entry: heartbeat-ms of the example in
// DEPLOY.md.
const Heartbeat = 1200 * time.Millisecond

// VM is a machine with its process.
type VM struct {
	Name, IP, Zone        string
	Front, Ready, Control string
	settings, log         string
	mu                    sync.Mutex
	process               *exec.Cmd
}

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	Store   *Store
	Workers []*Worker
	VMs     []*VM

	dir, program string
}

// New starts a store for a deployment whose processes run the program of the deploy file,
// below root.
func New(root string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: store, dir: dir, program: filepath.Join(root, "target", "wagtailspoked")}
	if _, err := os.Stat(d.program); err != nil {
		return nil, err
	}
	return d, nil
}

// AddWorker starts a worker.
func (d *Deployment) AddWorker(w *Worker) error {
	w.Store = d.Store
	d.Workers = append(d.Workers, w)
	return w.Start()
}

// freeAddresses returns free addresses at an IP.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// settingsText has the fields of DEPLOY.md, with the bounds of its example.
const settingsText = `node-name: %q
role: "entry"
machine-class: "front"
serves: ["front", "control"]
ip-address: %q
zone: %q
region: "north"
zones: {%s}
listen-addresses: {front: %q, ready: %q, control: %q}
seeds: [%s]
initial-bootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, file-descriptors: 4200, link-mbps: 1000.0, disk-mb: 0}
discovery: "platform"
entry: "virtual_ip"
heartbeat-ms: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seed-lag-s: 3, reuse-after-s: 2, stable-window-ms: 3000, acknowledge-ms: 4000, catch-up-s: 4, drain-ms: 2000,
  grace-s: 8, loss-slack-ms: 200, configuration-ms: 2000, rollback-slack-ms: 250, stretch-maximum-ms: 5000,
  strict-revocation: true, revoke-ms: 5000, budget-ratio: 0.2, budget-window-s: 10, budget-slack: 52, quota-window-s: 8,
  quota-over: 0.25, quota-slack: 11000, recover-s: 12, pass-ms: 120, retry-after-s: 0, require-fencing: true, lease-ms: 3000,
  thaw-ms: 300, ceiling-window-s: 5, ceiling-over: 1.1, version_ms: 5000}
platform: {address: %q, form: "read", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-minimum-ms: 1000}
`

// StartVMs starts one VM for each zone named, and waits until all are ready.
func (d *Deployment) StartVMs(zones ...string) error {
	var seeds, zoneList []string
	known := make(map[string]bool)
	for i, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, 10+i)
		addresses, err := freeAddresses(ip, 3)
		if err != nil {
			return err
		}
		vm := &VM{
			Name: fmt.Sprintf("front-%s-%d", zone, i+1), IP: ip, Zone: zone, Front: addresses[0], Ready: addresses[1], Control: addresses[2],
			settings: filepath.Join(d.dir, fmt.Sprintf("vm-%d.yaml", i)), log: filepath.Join(d.dir, fmt.Sprintf("vm-%d.log", i)),
		}
		d.VMs = append(d.VMs, vm)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", vm.Control))
		}
		if !known[zone] {
			known[zone] = true
			zoneList = append(zoneList, zone+": north")
		}
	}
	for _, vm := range d.VMs {
		text := fmt.Sprintf(settingsText, vm.Name, vm.IP, vm.Zone, strings.Join(zoneList, ", "), vm.Front, vm.Ready, vm.Control,
			strings.Join(seeds, ", "), Heartbeat.Milliseconds(), d.Store.Address())
		if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.StartVM(vm); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, vm := range d.VMs {
		for !vm.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", vm.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// StartVM starts the process of a VM.
func (d *Deployment) StartVM(vm *VM) error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	log, err := os.OpenFile(vm.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	vm.process = exec.Command(d.program, "platform")
	vm.process.Env = []string{"WAGTAILSPOKE_NODE_FILE=" + vm.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	vm.process.Stdout, vm.process.Stderr = log, log
	vm.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := vm.process.Start(); err != nil {
		return err
	}
	go func(process *exec.Cmd) {
		_ = process.Wait()
		_ = log.Close()
	}(vm.process)
	return nil
}

// Signal sends a signal to the process of a VM.
func (vm *VM) Signal(signal syscall.Signal) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	_ = vm.process.Process.Signal(signal)
}

// IsReady asks the VM whether it is ready.
func (vm *VM) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes of the deployment, and removes its files unless KEEP is set.
func (d *Deployment) Close() {
	for _, vm := range d.VMs {
		if vm.process != nil && vm.process.Process != nil {
			vm.Signal(syscall.SIGKILL)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "files kept in", d.dir)
	}
}
