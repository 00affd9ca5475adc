package ownership

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// peerReport is the VM list revision that a peer last reported. asOf is a time
// at which the report was known to be current.
type peerReport struct {
	revision ids.Revision
	asOf     time.Time
}

// authorityState tracks the VM list, how recently it was confirmed, and thus
// whether this VM may act as an owner. It covers all endpoints of the VM. mu
// guards all fields that change after New; the caller of the methods holds it.
type authorityState struct {
	mu           sync.RWMutex
	self         ids.VMID
	dataCentre   ids.DataCentreID
	terms        Terms
	list         platformapi.VMList
	previousList platformapi.VMList
	// platformReadAt is when the latest platform read that returned list was
	// started. It is zero if no read has returned list yet.
	platformReadAt time.Time
	// highestRevision is the highest list revision that this VM has seen or
	// that a peer has reported.
	highestRevision ids.Revision
	peerReports     map[ids.VMID]peerReport
	// lastTickAt is when the process was last known to run; resumedAt is when
	// it last resumed after a pause. Together they detect that the process did
	// not run for a while.
	lastTickAt time.Time
	resumedAt  time.Time
	// lastConfirmedAt is when the platform or a peer last confirmed list.
	lastConfirmedAt time.Time
}

// recordTick records that the process is running. A gap longer than
// AuthorityTerm means that the process was paused, so everything it knew
// before the pause must be confirmed again.
func (a *authorityState) recordTick(now time.Time) {
	if now.Sub(a.lastTickAt) > a.terms.AuthorityTerm {
		a.resumedAt = now
	}
	if now.After(a.lastTickAt) {
		a.lastTickAt = now
	}
}

// confirmFromPlatform records that a platform read started at the given time
// returned the current list.
func (a *authorityState) confirmFromPlatform(at time.Time) {
	if at.After(a.platformReadAt) {
		a.platformReadAt = at
	}
	a.recordConfirmation(at)
}

func (a *authorityState) recordConfirmation(at time.Time) {
	if at.After(a.lastConfirmedAt) {
		a.lastConfirmedAt = at
	}
}

// observePeer records the list revision that a peer reported. A message that
// does not answer a request of this VM may have been delayed for a long time.
// Such a message has a zero asOf: it raises the highest known revision but
// confirms nothing.
func (a *authorityState) observePeer(peer ids.VMID, revision ids.Revision, asOf time.Time) {
	if peer == a.self {
		return
	}
	if revision > a.highestRevision {
		a.highestRevision = revision
	}
	if last, ok := a.peerReports[peer]; !ok || asOf.After(last.asOf) {
		a.peerReports[peer] = peerReport{revision: revision, asOf: asOf}
	}
	if revision == a.list.Revision {
		a.recordConfirmation(asOf)
	}
}

// checkLease returns nil if the authority lease is valid, and otherwise the
// reason why it is not.
func (a *authorityState) checkLease(now time.Time) error {
	if a.list.Revision < a.highestRevision {
		return ErrListSuperseded
	}
	if !a.platformReadAt.IsZero() && now.Sub(a.platformReadAt) <= a.terms.AuthorityTerm {
		return nil
	}
	if a.allPeersAgree(now) {
		return nil
	}
	return ErrListUnconfirmed
}

// allPeersAgree reports whether every live peer of the data centre has
// recently reported the same list revision. It returns false for a VM without
// peers, because a replacement VM that it does not know about could own the
// endpoint.
func (a *authorityState) allPeersAgree(now time.Time) bool {
	peers := 0
	for _, vm := range a.list.VMs {
		if vm.DataCentre != a.dataCentre || vm.State != platformapi.VMLive || vm.ID == a.self {
			continue
		}
		peers++
		report, ok := a.peerReports[vm.ID]
		if !ok || report.revision != a.list.Revision || now.Sub(report.asOf) > a.terms.AuthorityTerm {
			return false
		}
	}
	return peers > 0
}

// checkGrant returns nil if this VM may grant pins. It allows more than
// checkLease, because a data centre that is cut off from the platform must go
// on serving resident adapters: it is enough that no peer has reported a
// higher revision and that the process has run without a pause since the list
// was last confirmed.
func (a *authorityState) checkGrant(now time.Time) error {
	err := a.checkLease(now)
	if err != ErrListUnconfirmed {
		return err
	}
	if now.Sub(a.lastTickAt) > a.terms.AuthorityTerm || a.lastConfirmedAt.Before(a.resumedAt) {
		return ErrListUnconfirmed
	}
	return nil
}
