package endpointload

import (
	"slices"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// MaxCandidates bounds the engines that one owner is asked about.
const MaxCandidates = 16

// Group is the engines of one data centre that hold an adapter. One owner grants
// starts at all of them.
type Group struct {
	DataCentre ids.DataCentreID
	// Engines are ordered by the load that the VM knows, the lowest first.
	Engines []*serving.Endpoint
	// Start is the expected time until a request can start at one of them, and Link
	// how much longer the data centre is away.
	Start, Link time.Duration
}

// Closer returns the groups whose link takes less time than a wait. The others
// can't start a request sooner, and asking them would only delay it.
func Closer(groups []Group, wait time.Duration) []Group {
	return slices.DeleteFunc(slices.Clone(groups), func(g Group) bool { return g.Link >= wait })
}

// IDs returns the engines' ids.
func (g Group) IDs() []ids.EndpointID {
	list := make([]ids.EndpointID, 0, len(g.Engines))
	for _, e := range g.Engines {
		list = append(list, e.ID)
	}
	return list
}

// MakeGroups groups engines by data centre, and orders the groups by the expected
// time to a start, with the link. load is the load of an engine as the VM knows
// it, in prompts, with any jitter; perPrompt is the time that an engine takes for
// one.
func MakeGroups(now time.Time, engines []*serving.Endpoint, load func(*serving.Endpoint) float64, perPrompt time.Duration, starts *Starts, link func(ids.DataCentreID) time.Duration) []Group {
	loads := make(map[ids.EndpointID]float64, len(engines))
	byDataCentre := make(map[ids.DataCentreID][]*serving.Endpoint)
	for _, e := range engines {
		loads[e.ID] = load(e)
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	groups := make([]Group, 0, len(byDataCentre))
	for dc, members := range byDataCentre {
		sort.Slice(members, func(i, j int) bool {
			if a, b := loads[members[i].ID], loads[members[j].ID]; a != b {
				return a < b
			}
			return members[i].ID < members[j].ID
		})
		members = members[:min(len(members), MaxCandidates)]
		earliest := time.Duration(-1)
		for _, e := range members {
			start := starts.expected(now, e.ID, time.Duration(loads[e.ID]*float64(perPrompt)))
			if earliest < 0 || start < earliest {
				earliest = start
			}
		}
		extra := link(dc)
		groups = append(groups, Group{DataCentre: dc, Engines: members, Start: earliest + extra, Link: extra})
	}
	sort.Slice(groups, func(i, j int) bool {
		if groups[i].Start != groups[j].Start {
			return groups[i].Start < groups[j].Start
		}
		return groups[i].DataCentre < groups[j].DataCentre
	})
	return groups
}
