package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/platform"
)

// runRelay drives the relay until the daemon stops.
func (d *Daemon) runRelay() {
	ticker := time.NewTicker(relay.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.performActions(d.relay.Tick(now))
		}
	}
}

// performActions carries out the relay's actions. Messages to VMs and reads
// from the platform run in their own goroutines.
func (d *Daemon) performActions(actions []relay.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case relay.SendHeartbeat:
			d.spawn(func() { d.sendHeartbeat(a) })
		case relay.PullDelta:
			d.spawn(func() { d.pullDelta(a) })
		case relay.PullVMList:
			d.spawn(func() { d.pullVMList(a) })
		case relay.WatchRecords:
			d.spawn(func() { d.watchRecords(a) })
		case relay.ListRecords:
			d.spawn(d.listRecords)
		case relay.WatchVMs:
			d.spawn(func() { d.watchVMs(a) })
		case relay.BecameReady:
			d.ready.Store(true)
			d.logAt("start", "").WithField("fromPlatform", a.FromPlatform).WithField("revision", d.catalog.CompleteThrough()).Info("ready")
		}
	}
}

func (d *Daemon) sendHeartbeat(a relay.SendHeartbeat) {
	sentAt := time.Now()
	d.addHeartbeatParts(sentAt, a.To.ID, &a.Message)
	d.sentHeartbeats.record(a.To.ID, a.Message.Sequence, sentAt)
	reply, err := peers.Call[peer.Heartbeat](d.ctx, d.peers, a.To.ID, peer.MethodHeartbeat, a.Timeout, a.Message)
	now := time.Now()
	if err != nil {
		d.reports.resendAll(a.To.ID)
		d.relay.OnHeartbeatFailure(now, a.To.ID)
		d.logAt("heartbeat", string(a.To.ID)).WithError(err).Debug("heartbeat failed")
		return
	}
	actions := d.relay.OnHeartbeatReply(now, a.To.ID, reply)
	d.observeHeartbeat(now, reply)
	d.performActions(actions)
}

// observeHeartbeat passes the contents of a heartbeat, or of the reply to
// one, to the components.
func (d *Daemon) observeHeartbeat(now time.Time, heartbeat peer.Heartbeat) {
	d.ownershipTable.ObservePeer(now, heartbeat.From, heartbeat.Digest.ListRevision, d.sentHeartbeats.sentAt(heartbeat.From, heartbeat.Echo))
	d.appliedRevisions.observeHeartbeat(now, heartbeat)
	d.reports.applyPeerReports(now, decodeReports(heartbeat.Endpoints))
	d.applyVMList()
}

func (d *Daemon) pullDelta(a relay.PullDelta) {
	reply, err := peers.Call[peer.DeltaReply](d.ctx, d.peers, a.To.ID, peer.MethodDelta, a.Timeout, a.Request)
	if err != nil {
		d.performActions(d.relay.OnDeltaFailure(time.Now(), a.To.ID))
		return
	}
	d.applyRecords(func() (catalog.ApplyResult, []relay.Action) {
		return d.relay.OnDelta(time.Now(), a.To.ID, reply)
	})
}

func (d *Daemon) pullVMList(a relay.PullVMList) {
	reply, err := peers.Call[peer.VMListReply](d.ctx, d.peers, a.To.ID, peer.MethodVMList, a.Timeout, a.Request)
	if err != nil {
		d.performActions(d.relay.OnVMListFailure(time.Now(), a.To.ID))
		return
	}
	actions := d.relay.OnVMList(time.Now(), a.To.ID, reply)
	d.applyVMList()
	d.performActions(actions)
}

func (d *Daemon) watchRecords(a relay.WatchRecords) {
	askedAt := time.Now()
	changes, err := d.platform.WatchRecords(d.ctx, a.After, a.Wait)
	if err != nil {
		d.platformFailed(relay.ReadRecords, err)
		return
	}
	d.applyRecords(func() (catalog.ApplyResult, []relay.Action) {
		return d.relay.OnChanges(time.Now(), askedAt, a.After, changes)
	})
}

func (d *Daemon) listRecords() {
	askedAt := time.Now()
	listing, err := d.platform.ListRecords(d.ctx, "")
	if err != nil {
		d.platformFailed(relay.ReadListing, err)
		return
	}
	d.applyRecords(func() (catalog.ApplyResult, []relay.Action) {
		return d.relay.OnListing(time.Now(), askedAt, listing)
	})
}

func (d *Daemon) watchVMs(a relay.WatchVMs) {
	askedAt := time.Now()
	list, err := d.platform.WatchVMs(d.ctx, a.After, a.Wait)
	if err != nil {
		d.platformFailed(relay.ReadVMs, err)
		return
	}
	actions := d.relay.OnVMs(time.Now(), askedAt, list)
	d.applyVMList()
	d.performActions(actions)
}

func (d *Daemon) platformFailed(kind relay.ReadKind, err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.relay.OnPlatformFailure(time.Now(), kind, errors.Is(err, platform.ErrCompacted))
	d.logAt("read platform", d.settings.Platform.Address).WithError(err).Debug("read failed")
}

// handleSync registers the handlers of messages that distribute records and
// VM lists.
func (d *Daemon) handleSync(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodHeartbeat, func(_ context.Context, _ peers.Sender, heartbeat peer.Heartbeat) (peer.Heartbeat, error) {
		now := time.Now()
		reply, actions := d.relay.OnHeartbeat(now, heartbeat)
		d.observeHeartbeat(now, heartbeat)
		d.addHeartbeatParts(now, heartbeat.From, &reply)
		d.sentHeartbeats.record(heartbeat.From, reply.Sequence, now)
		d.performActions(actions)
		return reply, nil
	})
	peers.Handle(registry, peer.MethodDelta, func(_ context.Context, _ peers.Sender, request peer.DeltaRequest) (peer.DeltaReply, error) {
		return d.relay.OnDeltaRequest(request), nil
	})
	peers.Handle(registry, peer.MethodVMList, func(_ context.Context, _ peers.Sender, request peer.VMListRequest) (peer.VMListReply, error) {
		return d.relay.OnVMListRequest(request), nil
	})
}

// heartbeatsPerPeer is how many sent heartbeats are remembered per peer, to
// be matched with echoes.
const heartbeatsPerPeer = 4

type sentHeartbeat struct {
	sequence uint64
	at       time.Time
}

// heartbeatLog remembers when heartbeats were sent. A peer's message that
// echoes the sequence number of a heartbeat was written after that time.
type heartbeatLog struct {
	mu     sync.Mutex
	byPeer map[ids.VMID][heartbeatsPerPeer]sentHeartbeat
}

func (b *heartbeatLog) record(to ids.VMID, sequence uint64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byPeer == nil {
		b.byPeer = make(map[ids.VMID][heartbeatsPerPeer]sentHeartbeat)
	}
	recent := b.byPeer[to]
	recent[sequence%heartbeatsPerPeer] = sentHeartbeat{sequence: sequence, at: at}
	b.byPeer[to] = recent
}

// sentAt returns when a heartbeat was sent, or the zero time if it is not
// remembered.
func (b *heartbeatLog) sentAt(to ids.VMID, sequence uint64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if beat := b.byPeer[to][sequence%heartbeatsPerPeer]; sequence > 0 && beat.sequence == sequence {
		return beat.at
	}
	return time.Time{}
}
