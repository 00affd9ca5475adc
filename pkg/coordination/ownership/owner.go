package ownership

import (
	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Owner returns the VM that owns an endpoint of the data centre according to
// the VM list: the live VM of that data centre with the highest rendezvous
// hash score. It reports false if the data centre has no live VM.
func Owner(endpoint ids.EndpointID, dataCentre ids.DataCentreID, list platformapi.VMList) (ids.VMID, bool) {
	var best ids.VMID
	var bestScore uint64
	found := false
	seed := xxh3.HashString(string(endpoint))
	for _, vm := range list.VMs {
		if vm.DataCentre != dataCentre || vm.State != platformapi.VMLive {
			continue
		}
		score := xxh3.HashStringSeed(string(vm.ID), seed)
		if !found || score > bestScore || score == bestScore && vm.ID < best {
			best, bestScore, found = vm.ID, score, true
		}
	}
	return best, found
}
