package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// process is one entry daemon that runs as a program of its own.
type process struct {
	vm         ids.VMID
	dataCentre ids.DataCentreID
	settings   settings.Settings
	command    *exec.Cmd
	logs       *logBuffer
	// exited is closed when the program has ended.
	exited chan struct{}
}

// logBuffer collects the log of one process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(data)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// settingsMode is the mode of the settings files.
const settingsMode = 0o600

// startProcess starts the daemon program with its settings in a file.
func startProcess(binary, directory string, entry settings.Settings) (*process, error) {
	data, err := json.MarshalIndent(entry, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(directory, string(entry.VMID)+".json")
	if err := os.WriteFile(path, data, settingsMode); err != nil {
		return nil, err
	}
	p := &process{
		vm:         entry.VMID,
		dataCentre: entry.DataCentre,
		settings:   entry,
		command:    exec.Command(binary, "--settings", path),
		logs:       &logBuffer{},
		exited:     make(chan struct{}),
	}
	p.command.Stdout = p.logs
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", entry.VMID, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// pause stops the process for a while, as a VM that is descheduled.
func (p *process) pause(ctx context.Context, duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	p.signal(syscall.SIGCONT)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// statusWait bounds the wait for a status, so that a paused VM does not hold
// up the sampling of the others.
const statusWait = 500 * time.Millisecond

// status reads the status of the VM; it reports false if the VM did not
// answer.
func (p *process) status(ctx context.Context, client *http.Client) (admin.Status, bool) {
	var status admin.Status
	body, ok := p.get(ctx, client, admin.PathStatus)
	if !ok || json.Unmarshal(body, &status) != nil {
		return admin.Status{}, false
	}
	return status, true
}

// get reads one page of the admin port.
func (p *process) get(ctx context.Context, client *http.Client, path string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.Listen.Admin+path, nil)
	if err != nil {
		return nil, false
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = answer.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(answer.Body); err != nil || answer.StatusCode != http.StatusOK {
		return nil, false
	}
	return body.Bytes(), true
}

// sleep waits and tells whether the context still lives.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
