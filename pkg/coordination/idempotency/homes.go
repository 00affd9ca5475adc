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

// Regions tells the region of each data centre.
type Regions map[ids.DataCentreID]string

// Homes returns the homes of a key among live VMs of a region, the best ranked
// first; an empty region stands for all VMs. Homes are in different data
// centres as far as there are such.
//
// Adding VMs to the input never makes a VM a home that was none: the choice
// takes the best VM of each data centre, then the best of the rest. Home
// relies on this when it checks a whole history of lists by their union.
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

// bestOfEachDataCentre picks the best VM of each data centre, at most
// HomeCount, and returns the others in their order.
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

// rendezvousKey joins the parts of a key with their lengths, so that different
// keys never give the same text.
func rendezvousKey(key peer.IdempotencyKey) string {
	var text strings.Builder
	for _, part := range []string{string(key.Customer), string(key.Route), key.Key} {
		text.WriteString(strconv.Itoa(len(part)))
		text.WriteByte(':')
		text.WriteString(part)
	}
	return text.String()
}
