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
