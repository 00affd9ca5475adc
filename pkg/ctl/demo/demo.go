// Package demo runs a whole deployment on loopback: stand-ins of two data
// centres and entry daemons as processes, with traffic through them, and
// checks what callers and endpoints saw.
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
	// Serve keeps the deployment up for this time after the checks.
	Serve time.Duration
	// KeepLogs leaves the directory of settings and logs in place.
	KeepLogs bool
}

// Run runs the demonstration and returns an error if anything did not match.
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
	v := &verdict{out: out, start: time.Now()}
	w, err := newWorld(ctx)
	if err != nil {
		return fmt.Errorf("starting the stand-ins: %w", err)
	}
	v.say("stand-ins: platform %s, weight store %s, service %s, %d engines in %d data centres",
		w.platform.Address(), w.store.Address(), w.service.Address(), len(w.engines), len(dataCentres))
	defer w.stop()
	w.binary, w.dir = options.Daemon, dir
	if err := w.startVMs(ctx); err != nil {
		return err
	}
	v.say("%d entry daemons are ready", len(w.vms))
	if options.KeepLogs {
		v.say("settings and logs are in %s", dir)
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		v.say("%s", step.title)
		step.run(ctx, w, v)
	}
	if options.Serve > 0 {
		w.serve(ctx, v, options.Serve)
	}
	return v.finish()
}

func (w *world) startVMs(ctx context.Context) error {
	for _, v := range w.vms {
		if err := w.startVM(v); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range w.vms {
		group.Go(func() error { return w.waitReady(ctx, v) })
	}
	return group.Wait()
}

func (w *world) startVM(v *vm) error {
	if err := startVM(v, w.binary, w.dir); err != nil {
		return fmt.Errorf("starting the daemon of %s: %w", v.id(), err)
	}
	w.logs = append(w.logs, v.process.logFile)
	return nil
}

// replaceVM puts a VM with a new id into the place of another one, as the
// platform does, and waits until it is ready.
func (w *world) replaceVM(ctx context.Context, index int) (*vm, error) {
	old := w.vms[index]
	replacement, err := w.newVM(old.settings.DataCentre, vmsPerDataCentre+1)
	if err != nil {
		return nil, err
	}
	w.vms[index] = replacement
	w.publishVMs("")
	if err := w.startVM(replacement); err != nil {
		return nil, err
	}
	return replacement, w.waitReady(ctx, replacement)
}

// stop ends all daemons at once, so that none waits for the others.
func (w *world) stop() {
	var group errgroup.Group
	for _, v := range w.vms {
		if v.process != nil {
			group.Go(func() error { v.process.stop(); return nil })
		}
	}
	_ = group.Wait()
}

// serve tells how to use the deployment and keeps it up.
func (w *world) serve(ctx context.Context, v *verdict, d time.Duration) {
	var live *vm
	for _, candidate := range w.vms {
		select {
		case <-candidate.process.done:
			continue
		default:
		}
		v.say("  %s: callers http://%s admin http://%s", candidate.id(), candidate.settings.Listen.Callers, candidate.settings.Listen.Admin)
		if live == nil {
			live = candidate
		}
	}
	if live == nil {
		v.check("serve", false, "no daemon runs")
		return
	}
	v.say("up for %s; try:", d)
	fmt.Fprintf(v.out, `
  curl -s http://%s/wagtailspoke.v1.InferenceService/Generate \
    -H 'Content-Type: application/json' -H 'Authorization: Bearer %s' \
    -d '{"adapter":"%s","prompt":"hello","maxTokens":8}'
  wagtailctl status %s

`, live.settings.Listen.Callers, w.keys["large-1"], adapterName(0), live.settings.Listen.Admin)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ErrNoDaemon tells that the wagtailspoked binary was not found.
var ErrNoDaemon = errors.New("wagtailspoked is not beside wagtailctl; build both with make build, or name it with --daemon")
