// Package demo runs a whole deployment on loopback: simulated external systems
// (platform, weight store, engines and a plain service) of two data centres in
// this process, and entry daemons as child processes. It sends traffic through
// the daemons and checks the responses and what the simulated systems recorded.
// Command "wagtailctl demo" calls Run.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options configures a demonstration.
type Options struct {
	// Daemon is the path of the wagtailspoked binary.
	Daemon string
	// Serve is how long the deployment stays up after the checks.
	Serve time.Duration
	// KeepLogs keeps the temporary directory with the daemons' settings and
	// logs.
	KeepLogs bool
}

// Run runs the demonstration, prints its checks to out, and returns an error if
// any check failed.
func Run(ctx context.Context, options Options, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "wagtailspoke-demo-")
	if err != nil {
		return err
	}
	if !options.KeepLogs {
		defer os.RemoveAll(dir)
	}
	report := &checkReport{out: out, start: time.Now()}
	deployed, err := newDeployment(ctx)
	if err != nil {
		return fmt.Errorf("starting the stand-ins: %w", err)
	}
	report.printf("stand-ins: platform %s, weight store %s, service %s, %d engines in %d data centres",
		deployed.platform.Address(), deployed.store.Address(), deployed.service.Address(), len(deployed.engines), len(dataCentres))
	defer deployed.stop()
	deployed.daemonPath, deployed.dir = options.Daemon, dir
	if err := deployed.startVMs(ctx); err != nil {
		return err
	}
	report.printf("%d entry daemons are ready", len(deployed.vms))
	if options.KeepLogs {
		report.printf("settings and logs are in %s", dir)
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		report.printf("%s", step.title)
		step.run(ctx, deployed, report)
	}
	if options.Serve > 0 {
		deployed.serve(ctx, report, options.Serve)
	}
	return report.summarize()
}

// startVMs starts the daemons of all VMs and waits until all are ready.
func (w *deployment) startVMs(ctx context.Context) error {
	for _, v := range w.vms {
		if err := w.startVM(v); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range w.vms {
		group.Go(func() error { return w.waitUntilReady(ctx, v) })
	}
	return group.Wait()
}

// startVM starts the daemon of one VM and registers its log file for the search
// for leaked keys.
func (w *deployment) startVM(v *vm) error {
	if err := startDaemon(v, w.daemonPath, w.dir); err != nil {
		return fmt.Errorf("starting the daemon of %s: %w", v.id(), err)
	}
	w.logFiles = append(w.logFiles, v.process.logFile)
	return nil
}

// replaceVM replaces the VM at an index by a VM with a new id, as the platform
// does, and waits until it is ready.
func (w *deployment) replaceVM(ctx context.Context, index int) (*vm, error) {
	previous := w.vms[index]
	replacement, err := w.newVM(previous.settings.DataCentre, vmsPerDataCentre+1)
	if err != nil {
		return nil, err
	}
	w.vms[index] = replacement
	w.publishVMList("")
	if err := w.startVM(replacement); err != nil {
		return nil, err
	}
	return replacement, w.waitUntilReady(ctx, replacement)
}

// stop ends all daemons in parallel, so that their graceful shutdowns overlap.
func (w *deployment) stop() {
	var group errgroup.Group
	for _, v := range w.vms {
		if v.process != nil {
			group.Go(func() error { v.process.stop(); return nil })
		}
	}
	_ = group.Wait()
}

// serve prints how to use the deployment and keeps it up for the given duration
// or until ctx ends.
func (w *deployment) serve(ctx context.Context, report *checkReport, duration time.Duration) {
	var live *vm
	for _, v := range w.vms {
		select {
		case <-v.process.done:
			continue
		default:
		}
		report.printf("  %s: callers http://%s admin http://%s", v.id(), v.settings.Listen.Callers, v.settings.Listen.Admin)
		if live == nil {
			live = v
		}
	}
	if live == nil {
		report.check("serve", false, "no daemon is running")
		return
	}
	report.printf("up for %s; try:", duration)
	fmt.Fprintf(report.out, `
  curl -s http://%s/wagtailspoke.v1.InferenceService/Generate \
    -H 'Content-Type: application/json' -H 'Authorization: Bearer %s' \
    -d '{"adapter":"%s","prompt":"hello","maxTokens":8}'
  wagtailctl status %s

`, live.settings.Listen.Callers, w.callerKeys["large-1"], adapterName(0), live.settings.Listen.Admin)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ErrNoDaemon reports that the wagtailspoked binary was not found.
var ErrNoDaemon = errors.New("wagtailspoked was not found; build it into the directory of wagtailctl with make build, or set its path with --daemon")
