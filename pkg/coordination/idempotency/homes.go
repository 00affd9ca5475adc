package idempotency

import (
	"strconv"
	"strings"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// HomeCount is the number of homes of a key. Three is the smallest number of
// which a majority survives the loss of one.
const HomeCount = 3

// Regions maps each data centre to its region.
type Regions map[ids.DataCentreID]string

// Homes returns the homes of a key among the live VMs of a region, in the
// order of their rank; an empty region means all VMs. The homes are in
// different data centres as far as there are enough data centres with VMs.
//
// Adding VMs to the input never turns a VM that was not a home into one,
// because the best VM of each data centre is chosen first and then the best of
// the rest. Home relies on this when it checks a whole history of lists by
// their union.
func Homes(key peer.IdempotencyKey, region string, live []platformapi.VM, regions Regions) []ids.VMID {
	candidates := make([]platformapi.VM, 0, len(live))
	for _, vm := range live {
		if region == "" || regions[vm.DataCentre] == region {
			candidates = append(candidates, vm)
		}
	}
	ranked := membership.Rank(rendezvousKey(key), candidates)
	homes, rest := bestOfEachDataCentre(ranked)
	for _, vm := range rest {
		if len(homes) == HomeCount {
			break
		}
		homes = append(homes, vm.ID)
	}
	return homes
}

// bestOfEachDataCentre returns the highest ranked VM of each data centre, at
// most HomeCount, and the other VMs in the order of their rank.
func bestOfEachDataCentre(ranked []platformapi.VM) (homes []ids.VMID, rest []platformapi.VM) {
	taken := make(map[ids.DataCentreID]bool)
	for _, vm := range ranked {
		if taken[vm.DataCentre] || len(homes) == HomeCount {
			rest = append(rest, vm)
			continue
		}
		taken[vm.DataCentre] = true
		homes = append(homes, vm.ID)
	}
	return homes, rest
}

// rendezvousKey joins the parts of a key, each preceded by its length, so that
// different keys never give the same text.
func rendezvousKey(key peer.IdempotencyKey) string {
	var text strings.Builder
	for _, part := range []string{string(key.Customer), string(key.Route), key.Key} {
		text.WriteString(strconv.Itoa(len(part)))
		text.WriteByte(':')
		text.WriteString(part)
	}
	return text.String()
}
