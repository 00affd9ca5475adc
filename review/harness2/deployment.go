package main

import (
	"errors"
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

	"github.com/wagtailspoke/wagtailspoke/platform/standin"
)

const (
	caseHost        = "booking.example"
	caseKey         = "case-key"
	caseTenant      = "hotel"
	untrustedTenant = "agency"
	untrustedKey    = "agency-key"
	daemonPath      = "target/wagtailspoked"
	readyTimeout    = 20 * time.Second
)

// zones are those of the site sites/isbreen-tur.toml.
var zones = []string{"tromso-a", "lyngen-b", "skibotn-c", "alta-d"}

// vm is an entry daemon as a process.
type vm struct {
	name, zone, ip        string
	front, ready, control string
	metricsPort           int
	settingsFile, logFile string
	process               *process
}

// process is a child that this program has started.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

func startProcess(logFile string, environment []string, name string, args ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(name, args...)
	command.Stdout, command.Stderr = log, log
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, environment...)
	// Children end with this program, also if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(signal syscall.Signal) {
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, "signal:", err)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// deployment is a small installation: the store, entry daemons and workers.
type deployment struct {
	record  *record
	dir     string
	store   *standin.Store
	trouble bool

	mu       sync.Mutex
	vms      []*vm
	children []*process
}

func newDeployment(record *record) (*deployment, error) {
	if _, err := os.Stat(daemonPath); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("trouble: %v", trouble)
	return &deployment{record: record, dir: dir, store: store, trouble: trouble}, nil
}

func (d *deployment) close() {
	d.mu.Lock()
	children := d.children
	d.mu.Unlock()
	for _, child := range children {
		// A stopped process does not end before it goes on.
		child.signal(syscall.SIGCONT)
		child.kill()
	}
	d.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

func (d *deployment) adopt(p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.children = append(d.children, p)
}

// freePorts returns ports of an address that are free at the moment.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addVMs prepares an entry daemon in each of the given zones. The first three are the
// seeds.
func (d *deployment) addVMs(in ...string) error {
	for i, zone := range in {
		ip := fmt.Sprintf("127.%d.%d.%d", 40+i, os.Getpid()%250, 10+i)
		ports, err := freePorts(ip, 4)
		if err != nil {
			return err
		}
		address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		name := fmt.Sprintf("front-%d", i)
		d.vms = append(d.vms, &vm{
			name: name, zone: zone, ip: ip, front: address(ports[0]), ready: address(ports[1]), control: address(ports[2]), metricsPort: ports[3],
			settingsFile: filepath.Join(d.dir, name+".yaml"), logFile: filepath.Join(d.dir, name+".log"),
		})
	}
	return nil
}

// settingsTemplate holds the bounds and the machine of the site sites/isbreen-tur.toml.
const settingsTemplate = `node-name: %q
role: "entry"
machine-class: "front"
serves: ["front", "control"]
ip-address: %q
zone: %q
region: "nord-troms"
zones: {tromso-a: "nord-troms", lyngen-b: "nord-troms", skibotn-c: "nord-troms", alta-d: "nord-troms"}
listen-addresses: {front: %q, ready: %q, control: %q}
internal-ports: [%d, %d]
seeds: [%s]
initial-bootstrap: %v
tolerance-counted: false
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, file-descriptors: 4200, link-mbps: 1000.0, disk-mb: 0}
data-directory: null
discovery: "platform"
entry: "virtual_ip"
heartbeat-ms: 1200
tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seed-lag-s: 3, reuse-after-s: 2, stable-window-ms: 3000, acknowledge-ms: 4000, catch-up-s: 4, drain-ms: 2000, grace-s: 8, loss-slack-ms: 200, configuration-ms: 2000, rollback-slack-ms: 250, stretch-maximum-ms: 5000, strict-revocation: true, revoke-ms: 5000, budget-ratio: 0.2, budget-window-s: 10, budget-slack: 52, quota-window-s: 8, quota-over: 0.25, quota-slack: 11000, recover-s: 12, pass-ms: 120, retry-after-s: 0, require-fencing: true, lease-ms: 3000, thaw-ms: 300, ceiling-window-s: 5, ceiling-over: 1.1, version_ms: 5000}
platform: {address: %q, form: "read", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-minimum-ms: 1000}
`

// writeSettings writes the settings file of an entry daemon. seeds are the first three of
// the given machines.
func (d *deployment) writeSettings(v *vm, firstStart bool, named []*vm) error {
	var seeds []string
	for _, seed := range named[:min(3, len(named))] {
		seeds = append(seeds, fmt.Sprintf("%q", seed.control))
	}
	body := fmt.Sprintf(settingsTemplate, v.name, v.ip, v.zone, v.front, v.ready, v.control, v.metricsPort, v.metricsPort, strings.Join(seeds, ", "), firstStart, d.store.Address())
	return os.WriteFile(v.settingsFile, []byte(body), 0o600)
}

// startVM starts an entry daemon with the command of the deploy file.
func (d *deployment) startVM(v *vm, firstStart bool) error {
	if err := d.writeSettings(v, firstStart, d.vms); err != nil {
		return err
	}
	p, err := startProcess(v.logFile, []string{"WAGTAILSPOKE_NODE_FILE=" + v.settingsFile}, daemonPath, "platform")
	if err != nil {
		return err
	}
	v.process = p
	d.adopt(p)
	return nil
}

func (d *deployment) startVMs(in ...string) error {
	if err := d.addVMs(in...); err != nil {
		return err
	}
	for _, v := range d.vms {
		if err := d.startVM(v, true); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := v.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + v.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", v.name, readyTimeout)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": caseHost, "path-prefix": prefix, "kind": kind, "service": service, "timeout-ms": timeoutMs,
		"objective-ms": 100, "attempts": attempts, "priority": 2, "allow-anonymous": false, "allow-resume": false,
	}
}

// publishConfig writes a configuration whose tenant has the given keys.
func (d *deployment) publishConfig(version int, routes []any, services []any, keys []string) {
	d.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []any{tenant(caseTenant, keys), tenant(untrustedTenant, []string{untrustedKey})},
	})
}

func tenant(name string, keys []string) map[string]any {
	return map[string]any{"name": name, "keys": keys, "unit": "token_count", "plain-tokens": 200, "rate-per-s": 1000000, "burst": 1000000}
}
