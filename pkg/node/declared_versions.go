package node

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// maxGraceVersions bounds the versions of one adapter whose declaration times are kept.
const maxGraceVersions = 32

// declaredVersions records the declared versions of each adapter and when this VM saw
// their declarations.
type declaredVersions struct {
	// grace is how long requests may begin on older versions after a declaration.
	grace    time.Duration
	mu       sync.Mutex
	adapters map[serving.AdapterKey]*adapterVersions
}

// adapterVersions are the declared versions of one adapter.
type adapterVersions struct {
	// required is the newest version whose grace period is over; 0 if there is none.
	required ids.AdapterVersion
	// inGrace holds the newer versions, the oldest first. Each has its own grace period:
	// the declaration of a newer version does not extend it.
	inGrace []declaredVersion
}

type declaredVersion struct {
	version    ids.AdapterVersion
	declaredAt time.Time
}

func newDeclaredVersions(grace time.Duration) *declaredVersions {
	return &declaredVersions{grace: grace, adapters: make(map[serving.AdapterKey]*adapterVersions)}
}

// update records the newest version of each adapter.
func (d *declaredVersions) update(now time.Time, versions map[serving.AdapterKey]ids.AdapterVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, version := range versions {
		adapter := d.adapters[key]
		if adapter == nil {
			adapter = &adapterVersions{}
			d.adapters[key] = adapter
		}
		adapter.endGrace(now, d.grace)
		adapter.declare(now, version)
	}
}

func (a *adapterVersions) declare(now time.Time, version ids.AdapterVersion) {
	if version <= a.newest() {
		return
	}
	if last := len(a.inGrace) - 1; last >= maxGraceVersions-1 {
		// The version takes over the earlier time of the one before it, which it replaces.
		a.inGrace[last].version = version
		return
	}
	a.inGrace = append(a.inGrace, declaredVersion{version: version, declaredAt: now})
}

func (a *adapterVersions) newest() ids.AdapterVersion {
	if last := len(a.inGrace) - 1; last >= 0 {
		return a.inGrace[last].version
	}
	return a.required
}

// minVersion returns the lowest version on which a request may begin: the newest one whose
// grace period is over, or 0 if there is none.
func (d *declaredVersions) minVersion(now time.Time, key serving.AdapterKey) ids.AdapterVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	adapter := d.adapters[key]
	if adapter == nil {
		return 0
	}
	adapter.endGrace(now, d.grace)
	return adapter.required
}

// endGrace requires the versions that were declared at least grace ago.
func (a *adapterVersions) endGrace(now time.Time, grace time.Duration) {
	for len(a.inGrace) > 0 && now.Sub(a.inGrace[0].declaredAt) >= grace {
		a.required = a.inGrace[0].version
		a.inGrace = a.inGrace[1:]
	}
}

// newest returns the newest declared version.
func (d *declaredVersions) newest(key serving.AdapterKey) ids.AdapterVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	if adapter := d.adapters[key]; adapter != nil {
		return adapter.newest()
	}
	return 0
}
