package node

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Listen holds the addresses of a VM.
type Listen struct {
	Callers, Ready, Peers string
	// Metrics is empty where none are served.
	Metrics string
}

// Bounds are the time limits and rates that the operators set.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Drain is how long a leaving endpoint still takes requests.
	Drain time.Duration
	// Lease is how long after a holder's last order no other may order.
	Lease time.Duration
	// StrictRevocation demands a proof that the configuration is current,
	// younger than Revocation, for each request with a key.
	StrictRevocation bool
	Revocation       time.Duration
	// AdapterVersion is how long after its declaration a version may still
	// be preceded by an older one.
	AdapterVersion time.Duration
	// RepeatRatio, RepeatReserve and RepeatWindow bound the sends beyond the
	// first of each request, over all VMs.
	RepeatRatio   float64
	RepeatReserve float64
	RepeatWindow  time.Duration
	// ModelLoadWindow and ModelLoadOverrate bound the loads of base models.
	ModelLoadWindow   time.Duration
	ModelLoadOverrate float64
}

// Settings are what a VM learns at its start.
type Settings struct {
	Name string
	// IP is the address of all connections of this VM.
	IP          string
	DataCentre  ids.DataCentreID
	DataCentres []ids.DataCentreID
	Listen      Listen
	// Seeds are peer addresses of a few VMs, which may be down or gone.
	Seeds []ids.VMID
	// FirstStart is set when the whole system starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	// Size is the VM's processor share in cores. Work that one VM does for
	// others goes to larger ones first.
	Size         float64
	StoreAddress string
	Bounds       Bounds
}

// Self returns the id of the VM: its peer address.
func (s Settings) Self() ids.VMID { return ids.VMID(s.Listen.Peers) }
