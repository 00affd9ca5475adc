package membership

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Score is the rendezvous weight of a VM for a key: every VM computes the same
// one, and a change of the list moves only the keys of the VMs that changed.
func Score(key string, vm ids.VMID) uint64 {
	return xxh3.HashString(string(vm) + "\x00" + key)
}

// Rank orders VMs by their score for a key, the best first. The input is not
// changed.
func Rank(key string, vms []platformapi.VM) []platformapi.VM {
	type scored struct {
		vm    platformapi.VM
		score uint64
	}
	order := make([]scored, len(vms))
	for i, vm := range vms {
		order[i] = scored{vm: vm, score: Score(key, vm.ID)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.vm.ID, b.vm.ID)
	})
	ranked := make([]platformapi.VM, len(vms))
	for i, entry := range order {
		ranked[i] = entry.vm
	}
	return ranked
}
