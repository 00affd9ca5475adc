package fleet

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// do carries out one action of the relay.
func (n *Node) do(action relay.Action) {
	switch act := action.(type) {
	case relay.SendHeartbeat:
		n.sendHeartbeat(act)
	case relay.PullDelta:
		n.pullDelta(act)
	case relay.PullVMList:
		n.pullVMList(act)
	case relay.WatchRecords:
		n.watchRecords(act)
	case relay.ListRecords:
		n.listRecords()
	case relay.WatchVMs:
		n.watchVMs(act)
	case relay.BecameReady:
		n.ReadyAt = n.fleet.Elapsed()
		n.Platform = act.FromPlatform
	}
}

func (n *Node) sendHeartbeat(act relay.SendHeartbeat) {
	f, to := n.fleet, n.fleet.Nodes[act.To.ID]
	handle := func(beat peer.Heartbeat) peer.Heartbeat {
		reply, actions := to.Relay.OnHeartbeat(f.Now(), beat)
		to.perform(actions)
		return reply
	}
	Call(n, to, act.Message, act.Timeout, handle,
		func(reply peer.Heartbeat) { n.perform(n.Relay.OnHeartbeatReply(f.Now(), act.To.ID, reply)) },
		func() { n.Relay.OnHeartbeatFailure(f.Now(), act.To.ID) })
}

func (n *Node) pullDelta(act relay.PullDelta) {
	f, to := n.fleet, n.fleet.Nodes[act.To.ID]
	Call(n, to, act.Request, act.Timeout,
		func(request peer.DeltaRequest) peer.DeltaReply { return to.Relay.OnDeltaRequest(request) },
		func(reply peer.DeltaReply) {
			_, actions := n.Relay.OnDelta(f.Now(), act.To.ID, reply)
			n.perform(actions)
		},
		func() { n.perform(n.Relay.OnDeltaFailure(f.Now(), act.To.ID)) })
}

func (n *Node) pullVMList(act relay.PullVMList) {
	f, to := n.fleet, n.fleet.Nodes[act.To.ID]
	Call(n, to, act.Request, act.Timeout,
		func(request peer.VMListRequest) peer.VMListReply { return to.Relay.OnVMListRequest(request) },
		func(reply peer.VMListReply) { n.perform(n.Relay.OnVMList(f.Now(), act.To.ID, reply)) },
		func() { n.perform(n.Relay.OnVMListFailure(f.Now(), act.To.ID)) })
}

// read runs a platform read; a VM that is cut off gets a failure.
func (n *Node) read(kind relay.ReadKind, call func(answer func(func()), fail func())) {
	f, boot := n.fleet, n.Boot
	fail := func() {
		f.whenAwake(n, boot, func() { n.Relay.OnPlatformFailure(f.Now(), kind, false) })
	}
	if f.CutPlatform(n.VM.DataCentre) {
		f.After(relay.RemoteTimeout, fail)
		return
	}
	answer := func(take func()) {
		if f.CutPlatform(n.VM.DataCentre) {
			f.After(relay.RemoteTimeout, fail)
			return
		}
		f.whenAwake(n, boot, take)
	}
	call(answer, fail)
}

func (n *Node) watchRecords(act relay.WatchRecords) {
	f, askedAt := n.fleet, n.fleet.Now()
	n.read(relay.ReadRecords, func(answer func(func()), fail func()) {
		var changes platformapi.Changes
		f.Platform.call(act.Wait,
			func() bool { return f.Platform.visible() > act.After },
			func() {
				changes = f.Platform.changesAfter(act.After)
				answer(func() {
					_, actions := n.Relay.OnChanges(f.Now(), askedAt, act.After, changes)
					n.perform(actions)
				})
			}, fail)
	})
}

func (n *Node) listRecords() {
	f, askedAt := n.fleet, n.fleet.Now()
	n.read(relay.ReadListing, func(answer func(func()), fail func()) {
		f.Platform.call(0, nil, func() {
			listing := f.Platform.listing()
			answer(func() {
				_, actions := n.Relay.OnListing(f.Now(), askedAt, listing)
				n.perform(actions)
			})
		}, fail)
	})
}

func (n *Node) watchVMs(act relay.WatchVMs) {
	f, askedAt := n.fleet, n.fleet.Now()
	n.read(relay.ReadVMs, func(answer func(func()), fail func()) {
		f.Platform.call(act.Wait,
			func() bool { return f.Platform.vmList().Revision > act.After },
			func() {
				list := f.Platform.vmList()
				answer(func() { n.perform(n.Relay.OnVMs(f.Now(), askedAt, list)) })
			}, fail)
	})
}
