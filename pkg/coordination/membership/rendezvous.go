package membership

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Score returns the rendezvous hashing weight of a VM for a key. Every VM
// computes the same weight, and a change of the VM list only moves the keys
// of the VMs that changed.
func Score(key string, vm ids.VMID) uint64 {
	return xxh3.HashString(string(vm) + "\x00" + key)
}

// Rank returns the VMs sorted by their score for a key, highest first. It
// does not change vms.
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
