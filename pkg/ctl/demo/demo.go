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
	d, err := newDeployment(ctx)
	if err != nil {
		return fmt.Errorf("starting the stand-ins: %w", err)
	}
	report.printf("stand-ins: platform %s, weight store %s, service %s, %d engines in %d data centres",
		d.platform.Address(), d.store.Address(), d.service.Address(), len(d.engines), len(dataCentres))
	defer d.stop()
	d.daemonPath, d.dir = options.Daemon, dir
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	report.printf("%d entry daemons are ready", len(d.vms))
	if options.KeepLogs {
		report.printf("settings and logs are in %s", dir)
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		report.printf("%s", step.title)
		step.run(ctx, d, report)
	}
	if options.Serve > 0 {
		d.serve(ctx, report, options.Serve)
	}
	return report.summarize()
}

// startVMs starts the daemons of all VMs and waits until all are ready.
func (d *deployment) startVMs(ctx context.Context) error {
	for _, v := range d.vms {
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range d.vms {
		group.Go(func() error { return d.waitUntilReady(ctx, v) })
	}
	return group.Wait()
}

// startVM starts the daemon of one VM and registers its log file for the search
// for leaked keys.
func (d *deployment) startVM(v *vm) error {
	if err := startDaemon(v, d.daemonPath, d.dir); err != nil {
		return fmt.Errorf("starting the daemon of %s: %w", v.id(), err)
	}
	d.logFiles = append(d.logFiles, v.process.logFile)
	return nil
}

// replaceVM replaces the VM at an index by a VM with a new id, as the platform
// does, and waits until it is ready.
func (d *deployment) replaceVM(ctx context.Context, index int) (*vm, error) {
	previous := d.vms[index]
	replacement, err := d.newVM(previous.settings.DataCentre, vmsPerDataCentre+1)
	if err != nil {
		return nil, err
	}
	d.vms[index] = replacement
	d.publishVMList("")
	if err := d.startVM(replacement); err != nil {
		return nil, err
	}
	return replacement, d.waitUntilReady(ctx, replacement)
}

// stop ends all daemons in parallel, so that their graceful shutdowns overlap.
func (d *deployment) stop() {
	var group errgroup.Group
	for _, v := range d.vms {
		if v.process != nil {
			group.Go(func() error { v.process.stop(); return nil })
		}
	}
	_ = group.Wait()
}

// serve prints how to use the deployment and keeps it up for the given duration
// or until ctx ends.
func (d *deployment) serve(ctx context.Context, report *checkReport, duration time.Duration) {
	var live *vm
	for _, v := range d.vms {
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

`, live.settings.Listen.Callers, d.callerKeys["large-1"], adapterName(0), live.settings.Listen.Admin)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ErrDaemonNotFound reports that the wagtailspoked binary was not found.
var ErrDaemonNotFound = errors.New("wagtailspoked was not found; build it into the directory of wagtailctl with make build, or set its path with --daemon")
