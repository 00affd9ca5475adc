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

// Timeouts and poll interval for starting and stopping daemons.
const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// process is a running entry daemon. done is closed when the process has
// exited; exitErr is its exit error and may be read only after that.
type process struct {
	command *exec.Cmd
	logFile string
	done    chan struct{}
	exitErr error
}

// startDaemon writes the settings of a VM to a file and starts its entry
// daemon.
func startDaemon(v *vm, daemonPath, dir string) error {
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
	p.command = exec.Command(daemonPath, "--settings", settingsFile)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.done)
	}()
	v.process = p
	return nil
}

// terminate sends SIGTERM to the daemon and waits until it exits. It returns an
// error if the daemon exits with a failure or not within the timeout.
func (p *process) terminate(timeout time.Duration) error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("the daemon did not end within %s", timeout)
	}
}

// stop terminates the daemon, and kills it if that fails or takes too long.
func (p *process) stop() {
	if p.terminate(stopTimeout) != nil {
		p.kill()
	}
}

// kill ends the daemon with SIGKILL and waits until it has exited.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// waitUntilReady waits until the VM reports that it is ready for requests.
func (d *deployment) waitUntilReady(ctx context.Context, v *vm) error {
	for deadline := time.Now().Add(readyTimeout); ; {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.Listen.Admin+admin.PathReadyz, nil)
		if err != nil {
			return err
		}
		response, err := d.httpClient.Do(request)
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
			return fmt.Errorf("the daemon of %s ended: %v\n%s", v.id(), v.process.exitErr, log)
		case <-time.After(pollInterval):
		}
		if time.Now().After(deadline) {
			log, _ := os.ReadFile(v.process.logFile)
			return fmt.Errorf("%s is not ready after %s\n%s", v.id(), readyTimeout, log)
		}
	}
}
