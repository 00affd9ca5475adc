package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wagtailspoke/wagtailspoke/platform/standin"
)

// The commands of the deploy file, from the root of the repository.
const (
	daemonProgram  = "target/wagtailspoked"
	daemonArgument = "platform"
	settingsEnv    = "WAGTAILSPOKE_NODE_FILE"
)

const (
	routeHost = "svc.example"
	clientKey = "key-one"
	baseModel = "base"

	drainPeriod      = 2 * time.Second
	revocationPeriod = 5 * time.Second
	gracePeriod      = 8 * time.Second
	readyTimeout     = 20 * time.Second
	memoryMB         = 284
)

// vm is one machine of the deployment, whose program runs as a process.
type vm struct {
	name, ip, zone             string
	front, ready, control      string
	settingsFile, logFile      string
	processMu                  sync.Mutex
	process                    *exec.Cmd
	exited                     chan struct{}
	unexpectedExits, spawnings int
	stopping                   bool
}

// deployment is a store, workers and VMs on loopback addresses.
type deployment struct {
	record *record
	dir    string
	store  *standin.Store
	// storeAddress is the address that the VMs call, which may be a proxy.
	storeAddress  string
	zones         []string
	vms           []*vm
	configVersion int
	// routes and services go into each configuration that is published.
	routes   []any
	services []any
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &deployment{record: r, dir: dir, store: store, storeAddress: store.Address(), zones: []string{"zone-a"}}, nil
}

// route describes a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, objective          time.Duration
	attempts                    int
	resume, anonymous           bool
}

func (d *deployment) addRoute(r route) {
	entry := map[string]any{
		"name": r.name, "host": routeHost, "path-prefix": r.prefix, "kind": r.kind, "service": r.service,
		"timeout-ms": r.timeout.Milliseconds(), "objective-ms": r.objective.Milliseconds(), "attempts": r.attempts, "priority": 1,
	}
	if r.kind == "streaming" {
		entry["gap-objective-ms"], entry["session-affinity"] = 300, true
	}
	if r.resume {
		entry["allow-resume"] = true
	}
	if r.anonymous {
		entry["allow-anonymous"] = true
	}
	d.routes = append(d.routes, entry)
}

func (d *deployment) addPlainService(name string) {
	d.services = append(d.services, map[string]any{"name": name, "connection-limit": 96})
}

func (d *deployment) addEngineService(name string, adapterSlots int) {
	d.services = append(d.services, map[string]any{"name": name, "connection-limit": 600, "engine": map[string]any{
		"slots": 128, "kv-capacity-tokens": 139149, "weights-mb": 36000, "adapter-slots": adapterSlots, "loads-per-s": 3.4,
		"models": []any{map[string]any{"name": baseModel, "weights-mb": 34300, "load-s": 2.7, "adapters": 3000, "adapter-mb": 40}},
	}})
}

// publish writes the next version of the configuration and returns when the store
// had acknowledged it.
func (d *deployment) publish(keys ...string) time.Time {
	d.configVersion += 3
	d.store.Put("op/config", map[string]any{
		"version": d.configVersion, "routes": d.routes, "services": d.services,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{
			"name": "tenant-1", "keys": keys, "unit": "token_count", "plain-tokens": 200, "rate-per-s": 1000000, "burst": 1000000,
		}},
	})
	d.record.printf("config version %d acknowledged, keys %v", d.configVersion, keys)
	return time.Now()
}

// startVMs starts machines with two seeds and waits until all are ready.
func (d *deployment) startVMs(count int) error {
	for i := range count {
		ip := fmt.Sprintf("127.3.%d.%d", os.Getpid()%200, 10+i)
		addresses, err := freeAddresses(ip, 3)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("front-%d", i+1)
		d.vms = append(d.vms, &vm{
			name: name, ip: ip, zone: d.zones[i%len(d.zones)], front: addresses[0], ready: addresses[1], control: addresses[2],
			settingsFile: filepath.Join(d.dir, name+".yaml"), logFile: filepath.Join(d.dir, name+".log"),
		})
	}
	for _, v := range d.vms {
		if err := d.writeSettings(v, true); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := v.waitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// freeAddresses returns addresses with ports that are free at the moment.
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

// writeSettings writes the settings file of a machine with the bounds of a small
// deployment.
func (d *deployment) writeSettings(v *vm, firstStart bool) error {
	zones := make(map[string]string)
	for _, zone := range d.zones {
		zones[zone] = "region-a"
	}
	var seeds []string
	for _, other := range d.vms[:min(len(d.vms), 3)] {
		seeds = append(seeds, other.control)
	}
	// JSON is also YAML.
	body, err := json.MarshalIndent(map[string]any{
		"node-name": v.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
		"ip-address": v.ip, "zone": v.zone, "region": "region-a", "zones": zones,
		"listen-addresses": map[string]any{"front": v.front, "ready": v.ready, "control": v.control},
		"seeds":            seeds, "initial-bootstrap": firstStart, "tolerance-counted": false,
		"limits":         map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": memoryMB, "file-descriptors": 4200, "link-mbps": 1000.0, "disk-mb": 0},
		"data-directory": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat-ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"},
		"tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "acknowledge-ms": 4000, "catch-up-s": 4,
			"drain-ms": drainPeriod.Milliseconds(), "grace-s": gracePeriod.Seconds(), "loss-slack-ms": 200, "configuration-ms": 2000,
			"rollback-slack-ms": 250, "stretch-maximum-ms": 5000, "strict-revocation": true, "revoke-ms": revocationPeriod.Milliseconds(),
			"budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 52, "quota-window-s": 8, "quota-over": 0.25, "quota-slack": 11000,
			"recover-s": 12, "pass-ms": 120, "retry-after-s": 0, "require-fencing": true, "lease-ms": 3000, "thaw-ms": 300,
			"ceiling-window-s": 5, "ceiling-over": 1.1, "version_ms": 5000,
		},
		"platform": map[string]any{
			"address": d.storeAddress, "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-minimum-ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsFile, body, 0o600)
}

// start starts the machine's program and appends its output to the log file.
func (v *vm) start() error {
	v.processMu.Lock()
	defer v.processMu.Unlock()
	log, err := os.OpenFile(v.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(daemonProgram, daemonArgument)
	process.Env = append(os.Environ(), settingsEnv+"="+v.settingsFile)
	process.Stdout, process.Stderr = log, log
	// The daemons end with the harness, also if that crashes or is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	v.process, v.exited, v.stopping = process, make(chan struct{}), false
	v.spawnings++
	go func(exited chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		v.processMu.Lock()
		if !v.stopping {
			v.unexpectedExits++
		}
		v.processMu.Unlock()
		close(exited)
	}(v.exited)
	return nil
}

// signal sends a signal to the machine's process.
func (v *vm) signal(s syscall.Signal) {
	v.processMu.Lock()
	defer v.processMu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		v.stopping = true
	}
	_ = v.process.Process.Signal(s)
}

func (v *vm) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", v.name, limit)
}

func (v *vm) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/api/ready", nil)
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

// close ends all processes that were started.
func (d *deployment) close() {
	for _, v := range d.vms {
		if v.process == nil {
			continue
		}
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
	d.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// request is a client's attempt.
type request struct {
	vm               *vm
	method, path, id string
	key, model       string
	tokens           string
	header           map[string]string
	body             io.Reader
	deadline         time.Duration
	client           *http.Client
	giveUp           time.Duration
	doNotRecord      bool
}

// answer is what a client got; status 0 if it got none.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// send sends an attempt and records it with its answer.
func (d *deployment) send(r request) answer {
	if r.deadline == 0 {
		r.deadline = 3 * time.Second
	}
	limit := r.deadline + time.Second
	if r.giveUp > 0 {
		limit = r.giveUp
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.vm.front+r.path, r.body)
	if err != nil {
		return answer{err: err}
	}
	out.Host = routeHost
	out.Header.Set("Attempt-Identifier", r.id)
	out.Header.Set("Deadline-Milliseconds", fmt.Sprint(r.deadline.Milliseconds()))
	if r.key != "" {
		out.Header.Set("Authorization", "Token "+r.key)
	}
	if r.model != "" {
		out.Header.Set("Model", r.model)
		out.Header.Set("Token-Counts", r.tokens)
	}
	for name, value := range r.header {
		out.Header.Set(name, value)
	}
	client := r.client
	if client == nil {
		client = oneShotClient
	}
	began := time.Now()
	response, err := client.Do(out)
	if err != nil {
		if !r.doNotRecord {
			d.record.printf("answered %s %s %s at %s: none (%v) after %v", r.id, r.method, r.path, r.vm.name, err, time.Since(began).Round(time.Millisecond))
		}
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if !r.doNotRecord {
		d.record.printf("answered %s %s %s at %s: %d, complete %t, body %q after %v", r.id, r.method, r.path, r.vm.name, response.StatusCode, err == nil,
			clip(string(body)), time.Since(began).Round(time.Millisecond))
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, err: err}
}

func clip(body string) string {
	body = strings.ReplaceAll(body, "\n", " ")
	if len(body) > 60 {
		return body[:60] + "..."
	}
	return body
}

// oneShotClient opens a connection for each attempt, as clients do for retries.
var oneShotClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
