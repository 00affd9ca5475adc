package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Action is something that the caller must do for the relay. The caller
// reports the result through the method that the type names.
type Action interface{ action() }

// SendHeartbeat calls peer.heartbeat. Result: OnHeartbeatReply or
// OnHeartbeatFailure.
type SendHeartbeat struct {
	To      platformapi.VM
	Message peer.Heartbeat
	Timeout time.Duration
}

// PullDelta calls peer.delta. Result: OnDelta or OnDeltaFailure.
type PullDelta struct {
	To      platformapi.VM
	Request peer.DeltaRequest
	Timeout time.Duration
}

// PullVMList calls peer.vmList. Result: OnVMList or OnVMListFailure.
type PullVMList struct {
	To      platformapi.VM
	Request peer.VMListRequest
	Timeout time.Duration
}

// WatchRecords asks the platform for the record changes after a revision and
// waits up to Wait for one. Result: OnChanges or OnPlatformFailure.
type WatchRecords struct {
	After ids.Revision
	Wait  time.Duration
}

// ListRecords asks the platform for all records. Result: OnListing or
// OnPlatformFailure.
type ListRecords struct{}

// WatchVMs asks the platform for a VM list above a revision and waits up to
// Wait for one. Result: OnVMs or OnPlatformFailure.
type WatchVMs struct {
	After ids.Revision
	Wait  time.Duration
}

// BecameReady reports that the VM has a complete view and may serve. It has
// no result.
type BecameReady struct {
	// FromPlatform reports that the view is the platform's because no peer
	// was available, so that a stale answer of the platform would not have
	// been detected.
	FromPlatform bool
}

func (SendHeartbeat) action() {}
func (PullDelta) action()     {}
func (PullVMList) action()    {}
func (WatchRecords) action()  {}
func (ListRecords) action()   {}
func (WatchVMs) action()      {}
func (BecameReady) action()   {}

// ReadKind is a kind of platform read.
type ReadKind uint8

// The kinds of platform reads.
const (
	ReadRecords ReadKind = iota
	ReadListing
	ReadVMs
	numReadKinds
)
