package ownership

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// peerList is what a peer last said about its VM list.
type peerList struct {
	revision ids.Revision
	asOf     time.Time
}

// authority is this VM's standing as an owner, for all its endpoints.
type authority struct {
	mu         sync.RWMutex
	self       ids.VMID
	dataCentre ids.DataCentreID
	terms      Terms
	list       platformapi.VMList
	previous   platformapi.VMList
	// confirmedAt is the start of the latest platform read that showed list.
	confirmedAt time.Time
	// highest is the highest list revision heard of.
	highest   ids.Revision
	peerLists map[ids.VMID]peerList
	// touchedAt and wokeAt detect that the process did not run for a while.
	touchedAt time.Time
	wokeAt    time.Time
	// basisAt is when the list was last confirmed by anyone.
	basisAt time.Time
}

// touch notes that the process runs. A gap longer than AuthorityTerm means
// that it was paused, and that what it believed before must be confirmed anew.
func (a *authority) touch(now time.Time) {
	if now.Sub(a.touchedAt) > a.terms.AuthorityTerm {
		a.wokeAt = now
	}
	if now.After(a.touchedAt) {
		a.touchedAt = now
	}
}

// confirm notes a platform read of the list in force.
func (a *authority) confirm(at time.Time) {
	if at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
	a.confirmBasis(at)
}

func (a *authority) confirmBasis(at time.Time) {
	if at.After(a.basisAt) {
		a.basisAt = at
	}
}

// hear notes what a peer said. A message that is not the answer to a question
// may have waited for long, so it raises the highest revision but
// confirms nothing: it has a zero asOf.
func (a *authority) hear(peer ids.VMID, revision ids.Revision, asOf time.Time) {
	if peer == a.self {
		return
	}
	if revision > a.highest {
		a.highest = revision
	}
	if known, ok := a.peerLists[peer]; !ok || asOf.After(known.asOf) {
		a.peerLists[peer] = peerList{revision: revision, asOf: asOf}
	}
	if revision == a.list.Revision {
		a.confirmBasis(asOf)
	}
}

// check tells whether the authority lease runs.
func (a *authority) check(now time.Time) error {
	if a.list.Revision < a.highest {
		return ErrSuperseded
	}
	if !a.confirmedAt.IsZero() && now.Sub(a.confirmedAt) <= a.terms.AuthorityTerm {
		return nil
	}
	if a.unanimous(now) {
		return nil
	}
	return ErrUnconfirmed
}

// unanimous tells whether every live peer of the data centre has the same
// list. A VM without peers is never unanimous: a replacement that it does not
// know of could own the endpoint.
func (a *authority) unanimous(now time.Time) bool {
	peers := 0
	for _, vm := range a.list.VMs {
		if vm.DataCentre != a.dataCentre || vm.State != platformapi.VMLive || vm.ID == a.self {
			continue
		}
		peers++
		said, ok := a.peerLists[vm.ID]
		if !ok || said.revision != a.list.Revision || now.Sub(said.asOf) > a.terms.AuthorityTerm {
			return false
		}
	}
	return peers > 0
}

// mayGrant tells whether pins may be granted. It is wider than check, because
// a data centre cut off from the platform must go on serving what is resident:
// it suffices that nobody spoke of a higher revision and that the process has
// run without a pause since the list was last confirmed.
func (a *authority) mayGrant(now time.Time) error {
	err := a.check(now)
	if err != ErrUnconfirmed {
		return err
	}
	if now.Sub(a.touchedAt) > a.terms.AuthorityTerm || a.basisAt.Before(a.wokeAt) {
		return ErrUnconfirmed
	}
	return nil
}
