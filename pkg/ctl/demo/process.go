package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// Times of starting and stopping daemons.
const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 10 * time.Second
	poll         = 50 * time.Millisecond
)

// process is a running entry daemon.
type process struct {
	command *exec.Cmd
	logFile string
	done    chan struct{}
	err     error
}

// startVM starts the entry daemon of a VM with its settings in a file.
func startVM(v *vm, binary, dir string) error {
	data, err := json.MarshalIndent(v.settings, "", "  ")
	if err != nil {
		return err
	}
	settingsFile := filepath.Join(dir, string(v.id())+".json")
	if err := os.WriteFile(settingsFile, data, 0o600); err != nil {
		return err
	}
	p := &process{logFile: filepath.Join(dir, string(v.id())+".log"), done: make(chan struct{})}
	log, err := os.Create(p.logFile)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(binary, "--settings", settingsFile)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	v.process = p
	return nil
}

// end asks the daemon to end and waits for it. It returns an error if the
// daemon ends with a failure or not in time.
func (p *process) end(timeout time.Duration) error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("the daemon did not end within %s", timeout)
	}
}

// stop ends the daemon, first gracefully.
func (p *process) stop() {
	if p.end(stopTimeout) != nil {
		p.kill()
	}
}

// kill ends the daemon without warning.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// waitReady waits until the VM takes requests.
func (w *world) waitReady(ctx context.Context, v *vm) error {
	for deadline := time.Now().Add(readyTimeout); ; {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.Listen.Admin+admin.PathReadyz, nil)
		if err != nil {
			return err
		}
		response, err := w.http.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.process.done:
			log, _ := os.ReadFile(v.process.logFile)
			return fmt.Errorf("the daemon of %s ended: %v\n%s", v.id(), v.process.err, log)
		case <-time.After(poll):
		}
		if time.Now().After(deadline) {
			log, _ := os.ReadFile(v.process.logFile)
			return fmt.Errorf("%s is not ready after %s\n%s", v.id(), readyTimeout, log)
		}
	}
}
