package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

// Timings of reading the store.
const (
	// watchWait is the longest wait of a watch. Its answer is the proof that
	// the configuration is current, so the wait counts twice in the proof's
	// age: during the watch and until the next one answers.
	watchWait = time.Second
	// watchPart is the part of the bound on revocation that a watch waits at
	// most.
	watchPart = 0.2
	// watchSlack is what an answer may take beyond the wait before the call
	// is given up.
	watchSlack  = 700 * time.Millisecond
	listTimeout = 2 * time.Second
	// watchPause is the pause after a watch that had changes. Endpoints change
	// their entries with each load, and each call has a price.
	watchPause = 350 * time.Millisecond
	// relayAge is the age of the best proof above which the next VM reads the
	// store beside those before it in the order of ids, and relayStep how much
	// older it is for each VM further on, up to relayMax.
	relayAge  = 1700 * time.Millisecond
	relayStep = 200 * time.Millisecond
	relayMax  = 2600 * time.Millisecond
	// relayLeaf is that age for a leaf, whose proof is older by the exchanges
	// of its relay, and leafPart its part of the bound on revocation at most.
	relayLeaf = 3100 * time.Millisecond
	leafPart  = 0.62
	// readLook is the longest pause between looks at who reads the store.
	readLook = 200 * time.Millisecond
	// readPause bounds the pause after a failed read.
	readPauseMin = 50 * time.Millisecond
	readPauseMax = 500 * time.Millisecond
)

// sourceLoop keeps the mirror current: the first VM of each data centre reads
// the store, and the others only when their peers' proofs grow old.
func (n *Node) sourceLoop(ctx context.Context) {
	pause := readPauseMin
	lost := false
	for ctx.Err() == nil {
		if wait := n.readIn(time.Now()); wait > 0 {
			sleep(ctx, min(wait, readLook))
			continue
		}
		err := n.readStore(ctx)
		if err == nil {
			if lost {
				n.note("store regained", fields{"through": n.mirror.Through()})
			}
			lost, pause = false, readPauseMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			n.warn("store lost", err, fields{"through": n.mirror.Through()})
		}
		lost = true
		sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, readPauseMax)
	}
}

// readIn returns in what time this VM reads the store itself unless its proof
// is renewed: the first relay by id always reads, the others when their peers'
// proofs grow old, relays before leaves.
func (n *Node) readIn(now time.Time) time.Duration {
	age, proven := n.proofAge(now)
	if !proven {
		return 0
	}
	n.membersMu.Lock()
	plan := n.fleet.Plan(now)
	n.membersMu.Unlock()
	switch {
	case plan.Rank == 0:
		return 0
	case plan.Relay:
		return min(relayAge+time.Duration(plan.Rank-1)*relayStep, relayMax) - age
	}
	return min(relayLeaf, time.Duration(leafPart*float64(n.settings.Bounds.Revocation))) - age
}

func (n *Node) readStore(ctx context.Context) error {
	through := n.mirror.Through()
	if through == 0 {
		return n.listStore(ctx)
	}
	wait := n.watchWait()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	sent := time.Now()
	delta, err := n.store.Watch(ctx, through, wait)
	n.metrics.storeCalls.Inc(1)
	if errors.Is(err, ErrCompacted) {
		n.note("store history is gone", fields{"through": through})
		return n.listStore(ctx)
	}
	if err != nil {
		return err
	}
	n.applyDelta(delta, "store")
	n.confirm(sent, delta.Through)
	if len(delta.Items) > 0 {
		sleep(ctx, watchPause)
	}
	return nil
}

func (n *Node) watchWait() time.Duration {
	if !n.settings.Bounds.StrictRevocation {
		return watchWait
	}
	return min(watchWait, time.Duration(watchPart*float64(n.settings.Bounds.Revocation)))
}

func (n *Node) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := time.Now()
	items, at, err := n.store.List(ctx)
	n.metrics.storeCalls.Inc(1)
	if err != nil {
		return err
	}
	n.recordsMu.Lock()
	changed := n.mirror.Replace(items, at)
	n.applyItems(changed, "store listing")
	n.recordsMu.Unlock()
	n.confirm(sent, at)
	return nil
}

func (n *Node) confirm(sent time.Time, through ids.Revision) {
	n.proofMu.Lock()
	defer n.proofMu.Unlock()
	n.proof.Confirm(sent, through)
}

// applyDelta applies changes of the store in the order in which they arrive.
func (n *Node) applyDelta(delta mirror.Delta, from string) {
	n.recordsMu.Lock()
	defer n.recordsMu.Unlock()
	n.applyItems(n.mirror.Apply(delta), from)
}

// applyItems decodes changed items and puts the result in force. The caller
// holds recordsMu.
func (n *Node) applyItems(changed []mirror.Item, from string) {
	if len(changed) == 0 {
		return
	}
	before := n.directory.View()
	for _, item := range changed {
		if err := n.records.Apply(item); err != nil {
			n.warn("item skipped", err, fields{"key": item.Key, "revision": item.Revision, "from": from})
		}
	}
	view := directory.NewView(n.records.Config(), n.records.Endpoints(), n.records.Versions())
	n.directory.Set(view)
	n.noteChanges(before, view, from)
	n.declared.update(time.Now(), view.Versions)
	n.setLimits(before, view)
	n.balanceMu.Lock()
	n.balancer.Prune(view.Endpoints)
	n.balanceMu.Unlock()
	n.wake()
}

// setLimits tells the caps of a new configuration.
func (n *Node) setLimits(before, after *directory.View) {
	if after.Config == nil || after.Config == before.Config {
		return
	}
	limits := make(map[ids.CustomerID]caps.Limit, len(after.Config.Customers))
	for i := range after.Config.Customers {
		limits[after.Config.Customers[i].ID] = limitOf(&after.Config.Customers[i])
	}
	n.capsMu.Lock()
	defer n.capsMu.Unlock()
	n.caps.SetLimits(time.Now(), limits)
}

// maxEndpointLines bounds the lines of one change of the store.
const maxEndpointLines = 8

// noteChanges logs what a change of the store made the VM believe, and forgets
// the adapters of engines that are gone or have restarted.
func (n *Node) noteChanges(before, after *directory.View, from string) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		n.note("configuration in force", fields{"version": after.Config.Version, "routes": len(after.Config.Routes), "from": from, "through": n.mirror.Through()})
	}
	var changed []*serving.Endpoint
	for id, endpoint := range after.Endpoints {
		old := before.Endpoints[id]
		if old != nil && old.Started != endpoint.Started {
			n.residents.forget(id)
			n.balanceMu.Lock()
			n.balancer.ResetEndpoint(id)
			n.balanceMu.Unlock()
		}
		if old == nil || old.Leaving != endpoint.Leaving || old.Started != endpoint.Started || old.Address != endpoint.Address {
			changed = append(changed, endpoint)
		}
	}
	if len(changed) > maxEndpointLines || len(before.Endpoints) == 0 {
		n.note("endpoints registered", fields{"endpoints": len(after.Endpoints), "changed": len(changed), "from": from, "through": n.mirror.Through()})
		changed = nil
	}
	for _, endpoint := range changed {
		n.note("endpoint registered", fields{"endpoint": endpoint.ID, "service": endpoint.Service, "dataCentre": endpoint.DataCentre, "leaving": endpoint.Leaving, "from": from})
	}
	for id := range before.Endpoints {
		if after.Endpoints[id] == nil {
			n.residents.forget(id)
			n.note("endpoint gone", fields{"endpoint": id, "from": from})
		}
	}
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
