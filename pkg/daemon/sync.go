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

// syncLoop drives the relay.
func (d *Daemon) syncLoop() {
	ticker := time.NewTicker(relay.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.perform(d.relay.Tick(now))
		}
	}
}

// perform carries out what the relay asks for, each in its own goroutine.
func (d *Daemon) perform(actions []relay.Action) {
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
			d.at("start", "").WithField("fromPlatform", a.FromPlatform).WithField("revision", d.catalog.CompleteThrough()).Info("ready")
		}
	}
}

func (d *Daemon) sendHeartbeat(a relay.SendHeartbeat) {
	sentAt := time.Now()
	d.addParts(sentAt, a.To.ID, &a.Message)
	d.beats.note(a.To.ID, a.Message.Sequence, sentAt)
	reply, err := peers.Call[peer.Heartbeat](d.ctx, d.peers, a.To.ID, peer.MethodHeartbeat, a.Timeout, a.Message)
	now := time.Now()
	if err != nil {
		d.reports.resend(a.To.ID)
		d.relay.OnHeartbeatFailure(now, a.To.ID)
		d.at("heartbeat", string(a.To.ID)).WithError(err).Debug("heartbeat failed")
		return
	}
	actions := d.relay.OnHeartbeatReply(now, a.To.ID, reply)
	d.heard(now, reply)
	d.perform(actions)
}

// heard tells the parts what a heartbeat, or the reply to one, says.
func (d *Daemon) heard(now time.Time, beat peer.Heartbeat) {
	d.table.ObservePeer(now, beat.From, beat.Digest.ListRevision, d.beats.sentAt(beat.From, beat.Echo))
	d.applied.heard(now, beat)
	d.reports.take(now, decodeReports(beat.Endpoints))
	d.listApplied()
}

func (d *Daemon) pullDelta(a relay.PullDelta) {
	reply, err := peers.Call[peer.DeltaReply](d.ctx, d.peers, a.To.ID, peer.MethodDelta, a.Timeout, a.Request)
	if err != nil {
		d.perform(d.relay.OnDeltaFailure(time.Now(), a.To.ID))
		return
	}
	d.applyRecords(func() (catalog.ApplyResult, []relay.Action) {
		return d.relay.OnDelta(time.Now(), a.To.ID, reply)
	})
}

func (d *Daemon) pullVMList(a relay.PullVMList) {
	reply, err := peers.Call[peer.VMListReply](d.ctx, d.peers, a.To.ID, peer.MethodVMList, a.Timeout, a.Request)
	if err != nil {
		d.perform(d.relay.OnVMListFailure(time.Now(), a.To.ID))
		return
	}
	actions := d.relay.OnVMList(time.Now(), a.To.ID, reply)
	d.listApplied()
	d.perform(actions)
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
	d.listApplied()
	d.perform(actions)
}

func (d *Daemon) platformFailed(kind relay.ReadKind, err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.relay.OnPlatformFailure(time.Now(), kind, errors.Is(err, platform.ErrCompacted))
	d.at("read platform", d.settings.Platform.Address).WithError(err).Debug("read failed")
}

// handleSync registers the messages that spread records and lists.
func (d *Daemon) handleSync(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodHeartbeat, func(_ context.Context, _ peers.Sender, beat peer.Heartbeat) (peer.Heartbeat, error) {
		now := time.Now()
		reply, actions := d.relay.OnHeartbeat(now, beat)
		d.heard(now, beat)
		d.addParts(now, beat.From, &reply)
		d.beats.note(beat.From, reply.Sequence, now)
		d.perform(actions)
		return reply, nil
	})
	peers.Handle(registry, peer.MethodDelta, func(_ context.Context, _ peers.Sender, request peer.DeltaRequest) (peer.DeltaReply, error) {
		return d.relay.OnDeltaRequest(request), nil
	})
	peers.Handle(registry, peer.MethodVMList, func(_ context.Context, _ peers.Sender, request peer.VMListRequest) (peer.VMListReply, error) {
		return d.relay.OnVMListRequest(request), nil
	})
}

// beatMemory is how many sent heartbeats per peer are remembered for echoes.
const beatMemory = 4

type sentBeat struct {
	sequence uint64
	at       time.Time
}

// beatLog remembers when heartbeats were sent. The echo in a peer's message
// then shows a time after which the message was written.
type beatLog struct {
	mu   sync.Mutex
	sent map[ids.VMID][beatMemory]sentBeat
}

func (b *beatLog) note(to ids.VMID, sequence uint64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent == nil {
		b.sent = make(map[ids.VMID][beatMemory]sentBeat)
	}
	ring := b.sent[to]
	ring[sequence%beatMemory] = sentBeat{sequence: sequence, at: at}
	b.sent[to] = ring
}

// sentAt returns when a heartbeat was sent, or the zero time.
func (b *beatLog) sentAt(to ids.VMID, sequence uint64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if beat := b.sent[to][sequence%beatMemory]; sequence > 0 && beat.sequence == sequence {
		return beat.at
	}
	return time.Time{}
}
