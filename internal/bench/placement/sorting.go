package placement

import (
	"sort"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

func sortRefs(refs []ids.AdapterRef) {
	sort.Slice(refs, func(i, j int) bool {
		if refs[i].Adapter != refs[j].Adapter {
			return refs[i].Adapter < refs[j].Adapter
		}
		return refs[i].Version < refs[j].Version
	})
}

func sortedTold(told map[toldKey]ids.EndpointID) []toldKey {
	keys := make([]toldKey, 0, len(told))
	for key := range told {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].ref != keys[j].ref {
			return keys[i].ref.String() < keys[j].ref.String()
		}
		return keys[i].customer < keys[j].customer
	})
	return keys
}
