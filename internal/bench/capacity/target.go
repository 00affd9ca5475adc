package capacity

// Target is the size for which the capacity page is computed.
type Target struct {
	Nodes              float64
	Workers            float64
	Regions            float64
	DataCentres        float64
	Adapters           float64
	RequestsPerSecond  float64
	TokensPerSecond    float64
	ChangesPerDay      float64
	FailuresPerDay     float64
	ReplacementsPerDay float64
	WakingPerHour      float64
	CustomersAssumed   float64
	// StoreLoadsPerSecond and SlotsPerWorker are those of today, assumed to
	// hold for each region's store and each worker.
	StoreLoadsPerSecond float64
	SlotsPerWorker      float64
}

// secondsPerDay and secondsPerHour convert the rates of the target.
const (
	secondsPerDay  = 86_400
	secondsPerHour = 3_600
)

// StatedTarget is the size that the users have stated for two years from now.
// The number of customers is not part of it and is assumed to be the number
// of adapters, one customer for each.
var StatedTarget = Target{
	Nodes:               420,
	Workers:             10_000,
	Regions:             11,
	DataCentres:         31,
	Adapters:            12_000,
	RequestsPerSecond:   11_000,
	TokensPerSecond:     5_500_000,
	ChangesPerDay:       25_000,
	FailuresPerDay:      190,
	ReplacementsPerDay:  1_200,
	WakingPerHour:       0.33 * 12_000,
	CustomersAssumed:    12_000,
	StoreLoadsPerSecond: 3,
	SlotsPerWorker:      8,
}

// NodesPerDataCentre is the mean number of entry VMs of a data centre.
func (t Target) NodesPerDataCentre() float64 { return t.Nodes / t.DataCentres }

// WorkersPerDataCentre is the mean number of model engines of a data centre.
func (t Target) WorkersPerDataCentre() float64 { return t.Workers / t.DataCentres }

// WorkersPerNode is the mean number of engines that one VM owns.
func (t Target) WorkersPerNode() float64 { return t.Workers / t.Nodes }

// NodesPerRegion is the mean number of entry VMs of a region.
func (t Target) NodesPerRegion() float64 { return t.Nodes / t.Regions }

// DataCentresPerRegion is the mean number of data centres of a region.
func (t Target) DataCentresPerRegion() float64 { return t.DataCentres / t.Regions }

// RequestsPerNode is the number of requests that one VM takes a second.
func (t Target) RequestsPerNode() float64 { return t.RequestsPerSecond / t.Nodes }

// TokensPerNode is the number of generated tokens that pass one VM a second.
func (t Target) TokensPerNode() float64 { return t.TokensPerSecond / t.Nodes }

// TokensPerRequest is the mean length of an answer.
func (t Target) TokensPerRequest() float64 { return t.TokensPerSecond / t.RequestsPerSecond }

// Records is the number of records: adapters, customers, keys and endpoints.
func (t Target) Records() float64 { return t.Adapters + 2*t.CustomersAssumed + t.Workers }

// ChangesPerSecond is the rate of configuration changes.
func (t Target) ChangesPerSecond() float64 { return t.ChangesPerDay / secondsPerDay }

// Budgets of one node for control, and of the fleet.
const (
	budgetCorePercent     = 4.6
	budgetMegabytes       = 64
	budgetKilobytesPerSec = 6
	budgetPlatformCalls   = 2_000
	budgetForceSeconds    = 12
	budgetFirstTokenMs    = 1_200
	budgetTokenGapMs      = 37
)
