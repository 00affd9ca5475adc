package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

// Timings of reading the store.
const (
	// maxWatchWait is the longest time that a watch waits for changes. The
	// reply to a watch proves that the configuration is current, so this time
	// counts twice in the proof's age: during the watch and until the next one
	// replies.
	maxWatchWait = time.Second
	// watchWaitShare limits the wait of a watch to this share of
	// Bounds.MaxRevocationDelay.
	watchWaitShare = 0.2
	// watchReplyMargin is how much longer than the wait a reply may take before
	// the call is cancelled.
	watchReplyMargin = 700 * time.Millisecond
	listTimeout      = 2 * time.Second
	// pauseAfterChanges is the pause after a watch that returned changes.
	// Endpoints change their entries with each load, and each call to the store
	// has a cost.
	pauseAfterChanges = 350 * time.Millisecond
	// relayReadAge is the proof age from which the next relay, in the order of
	// ids, reads the store too. Each further relay waits relayReadAgeStep
	// longer, up to maxRelayReadAge.
	relayReadAge     = 1700 * time.Millisecond
	relayReadAgeStep = 200 * time.Millisecond
	maxRelayReadAge  = 2600 * time.Millisecond
	// leafReadAge is the proof age from which a leaf reads the store. It is
	// higher because the exchanges with its relay add to the age of a leaf's
	// proof. It is limited to leafReadAgeShare of Bounds.MaxRevocationDelay.
	leafReadAge      = 3100 * time.Millisecond
	leafReadAgeShare = 0.62
	// The backoff after a failed read doubles from minReadBackoff up to
	// maxReadBackoff.
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = 500 * time.Millisecond
)

// storeLoop keeps the mirror of the store current until ctx ends. The first
// relay always reads the store, and the other VMs only when the proofs from
// their peers get too old.
func (n *Node) storeLoop(ctx context.Context) {
	backoff := minReadBackoff
	unavailable := false
	for ctx.Err() == nil {
		if wait := n.timeUntilRead(time.Now()); wait > 0 {
			n.wakeStoreReader.wait(ctx, wait)
			continue
		}
		err := n.readStore(ctx)
		if err == nil {
			if unavailable {
				n.logInfo("store can be read again", fields{"through": n.mirror.CompleteThrough()})
			}
			unavailable, backoff = false, minReadBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !unavailable {
			n.logWarning("cannot read the store", err, fields{"through": n.mirror.CompleteThrough()})
		}
		unavailable = true
		sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
		backoff = min(2*backoff, maxReadBackoff)
	}
}

// timeUntilRead returns the time until this VM has to read the store itself,
// unless its proof is renewed before. The relay with the lowest id always
// reads. The others read when the proofs from their peers get too old, relays
// before leaves.
func (n *Node) timeUntilRead(now time.Time) time.Duration {
	age, proven := n.proofAge()
	if !proven || n.copyDiffers.Load() {
		return 0
	}
	n.membersMu.Lock()
	plan := n.fleet.Plan(now)
	n.membersMu.Unlock()
	if plan.PlatformReadRank == 0 {
		return 0
	}
	limit := min(leafReadAge, time.Duration(leafReadAgeShare*float64(n.settings.Bounds.MaxRevocationDelay)))
	if plan.Relay {
		limit = min(relayReadAge+time.Duration(plan.PlatformReadRank-1)*relayReadAgeStep, maxRelayReadAge)
	}
	if settling := n.mirror.UntilSettled(n.bootTime()); settling > 0 {
		// No read renews a proof yet. The first relay's does soon after, which takes
		// a while to reach the others.
		return settling + max(limit-relayReadAge, 0) + relayReadAgeStep
	}
	return limit - age
}

func (n *Node) readStore(ctx context.Context) error {
	position := n.mirror.Position()
	if position.Revision == 0 || n.copyDiffers.Load() {
		return n.listStore(ctx)
	}
	sent := n.bootTime()
	delta, err := n.watchStore(ctx, position.Revision, n.watchWait())
	if errors.Is(err, ErrCompacted) {
		n.logInfo("store no longer has the requested changes, listing it", fields{"through": position.Revision, "era": position.Era})
		return n.listStore(ctx)
	}
	if err != nil {
		return err
	}
	if delta.Era > position.Era {
		return n.listStore(ctx)
	}
	if err := n.applyFromStore(sent, delta); err != nil {
		return err
	}
	if len(delta.Items) > 0 {
		sleep(ctx, pauseAfterChanges)
	}
	return nil
}

func (n *Node) watchStore(ctx context.Context, after ids.Revision, wait time.Duration) (delta mirror.Delta, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchReplyMargin)
	defer cancel()
	err = protect("store watch", func() (err error) {
		delta, err = n.store.Watch(ctx, after, wait)
		return err
	})
	n.metrics.storeCalls.Inc(1)
	return delta, err
}

// watchWait returns how long the next watch may wait for changes. It does not wait
// while the proof is old, and not beyond the time from which a read renews it.
func (n *Node) watchWait() time.Duration {
	if settling := n.mirror.UntilSettled(n.bootTime()); settling > 0 {
		return max(min(settling, n.maxWatchWait()).Truncate(time.Millisecond), time.Millisecond)
	}
	if age, proven := n.proofAge(); !proven || age > relayReadAge {
		return time.Millisecond
	}
	return n.maxWatchWait()
}

func (n *Node) maxWatchWait() time.Duration {
	if !n.settings.Bounds.StrictRevocation {
		return maxWatchWait
	}
	return min(maxWatchWait, time.Duration(watchWaitShare*float64(n.settings.Bounds.MaxRevocationDelay)))
}

func (n *Node) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := n.bootTime()
	var listing mirror.Delta
	err := protect("store listing", func() (err error) {
		listing, err = n.store.List(ctx)
		return err
	})
	n.metrics.storeCalls.Inc(1)
	if err != nil {
		return err
	}
	return n.applyFromStore(sent, listing)
}

// applyFromStore applies what the store returned to a read that was sent at a boot
// time, and takes it for a proof that the configuration is current.
func (n *Node) applyFromStore(sent time.Time, delta mirror.Delta) error {
	from := "store"
	if delta.Listing {
		from = "store listing"
	}
	if delta.Listing {
		n.copyDiffers.Store(false)
	}
	n.applyDelta(delta, from)
	if era := n.mirror.Position().Era; delta.Era != era {
		return observability.NewStepError("read store", n.settings.StoreAddress, "the answer is of era %d, after one of era %d", delta.Era, era)
	}
	if n.mayProve(sent) {
		n.confirmProof(sent, delta.Through)
	}
	return nil
}

func (n *Node) confirmProof(sent time.Time, through ids.Revision) {
	n.proofMu.Lock()
	defer n.proofMu.Unlock()
	n.proof.Confirm(sent, through)
}

// applyDelta applies changes of the store in the order in which they arrive.
func (n *Node) applyDelta(delta mirror.Delta, from string) {
	n.applyMerged(from, func() []mirror.Item { return n.mirror.Merge(n.bootTime(), delta) })
}

// applyPeerDelta applies what a peer sent of its copy of the store, and reports
// whether this VM's then has all of it.
func (n *Node) applyPeerDelta(delta mirror.Delta, from string) (complete bool) {
	n.applyMerged(from, func() (changed []mirror.Item) {
		changed, complete = n.mirror.MergeFromPeer(n.bootTime(), delta)
		return changed
	})
	return complete
}

// applyMerged applies the items that a merge into the mirror has changed.
func (n *Node) applyMerged(from string, merge func() []mirror.Item) {
	n.recordsMu.Lock()
	defer n.recordsMu.Unlock()
	before := n.mirror.Position()
	changed := merge()
	if after := n.mirror.Position(); after.Era != before.Era {
		n.logEra(before, after, from)
		n.wakeExchange.wake()
	}
	n.applyItems(changed, from)
}

// applyItems decodes changed items and publishes the resulting view. The caller
// holds recordsMu.
func (n *Node) applyItems(changed []mirror.Item, from string) {
	effect := false
	for _, item := range changed {
		itemChanged := false
		err := protect("decode item", func() (err error) {
			itemChanged, err = n.records.Apply(item)
			return err
		})
		if err != nil {
			n.logWarning("item cannot be decoded", err, fields{"key": item.Key, "revision": item.Revision, "from": from})
		}
		effect = effect || itemChanged
	}
	if !effect {
		return
	}
	before := n.directory.View()
	view := directory.NewView(n.records.Config(), n.records.Endpoints(), n.records.Versions())
	view.Evacuated = n.records.Evacuated()
	n.directory.Set(view)
	n.logChanges(before, view, from)
	n.recordColdRecords(before, view)
	n.updateEvacuations(view, from)
	n.recordPaceChanges(time.Now(), before, view)
	for id := range view.Endpoints {
		if before.Endpoints[id] == nil {
			n.adapterIndex.setRegistered(time.Now(), id, n.records.HeldModels(id))
		}
	}
	n.declared.update(time.Now(), view.Versions)
	n.updateCapLimits(before, view)
	n.balanceMu.Lock()
	n.balancer.Prune(view.Endpoints)
	n.balanceMu.Unlock()
	n.plainLoads.prune(view)
	n.engineStarts.prune(func(id ids.EndpointID) bool { return view.Endpoints[id] != nil })
	n.limitsMu.Lock()
	n.limits.Prune(func(id ids.EndpointID) bool { return view.Endpoints[id] != nil })
	n.limitsMu.Unlock()
	n.wakeExchange.wake()
}

// updateCapLimits passes the customers' limits of a new configuration to the
// rate caps.
func (n *Node) updateCapLimits(before, after *directory.View) {
	if after.Config == nil || after.Config == before.Config {
		return
	}
	limits := make(map[ids.CustomerID]caps.Limit, len(after.Config.Customers))
	for i := range after.Config.Customers {
		limits[after.Config.Customers[i].ID] = capLimit(&after.Config.Customers[i])
	}
	n.capsMu.Lock()
	defer n.capsMu.Unlock()
	n.caps.SetLimits(time.Now(), limits)
}

// maxEndpointLogLines limits the log lines about endpoints for one change of
// the store.
const maxEndpointLogLines = 8

// logChanges logs what changed in the VM's view. It also removes what is known
// about the adapters of engines that are gone or have restarted.
func (n *Node) logChanges(before, after *directory.View, from string) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		n.logInfo("configuration applied", fields{"version": after.Config.Version, "routes": len(after.Config.Routes), "from": from, "through": n.mirror.CompleteThrough()})
	}
	var changed []*serving.Endpoint
	for id, endpoint := range after.Endpoints {
		old := before.Endpoints[id]
		if old != nil && old.Started != endpoint.Started {
			n.adapterIndex.removeEngine(id)
			n.balanceMu.Lock()
			n.balancer.ResetEndpoint(id)
			n.balanceMu.Unlock()
			n.plainLoads.forget(id)
			n.limitsMu.Lock()
			n.limits.Forget(id)
			n.limitsMu.Unlock()
		}
		if old == nil || old.Leaving != endpoint.Leaving || old.Started != endpoint.Started || old.Address != endpoint.Address {
			changed = append(changed, endpoint)
		}
	}
	if len(changed) > maxEndpointLogLines || len(before.Endpoints) == 0 {
		n.logInfo("endpoints added or changed", fields{"endpoints": len(after.Endpoints), "changed": len(changed), "from": from, "through": n.mirror.CompleteThrough()})
		changed = nil
	}
	for _, endpoint := range changed {
		n.logInfo("endpoint added or changed", fields{"endpoint": endpoint.ID, "service": endpoint.Service, "dataCentre": endpoint.DataCentre, "leaving": endpoint.Leaving, "from": from})
	}
	for id := range before.Endpoints {
		if after.Endpoints[id] == nil {
			n.adapterIndex.removeEngine(id)
			n.logInfo("endpoint removed", fields{"endpoint": id, "from": from})
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
