package capacity

// Units in which the page shows values.
const (
	bytesPerMegabyte  = 1e6
	bytesPerKilobyte  = 1e3
	nanosPerSecond    = 1e9
	microsPerSecond   = 1e6
	microsPerMilli    = 1e3
	percentOfOne      = 100
	secondsPerMinute  = 60
	restartJitter     = 2 // seconds over which restarted VMs spread their reads
	listingsAtRestart = 2 // records and VM list
	// burstOfLongShares is a burst, in seconds of the rate, with which a VM's
	// share of it is above the largest request.
	burstOfLongShares = 30
	shortBurst        = 12
	// keyedShare is the assumed part of requests that are keyed calls, and
	// keyedCallBytes what wagtailbench config counts for one.
	keyedShare     = 0.01
	keyedCallBytes = 3_009
	// probeSeconds is the time between two load reports that an owner reads,
	// and reportBytes the assumed size of one with its headers.
	probeSeconds = 2
	reportBytes  = 700
	rackNodes    = 4
	rackWorkers  = 96
)

// lines lists the figures of the page, grouped by role.
func lines() []Line {
	var all []Line
	for _, group := range [][]Line{
		gatewayLines(), ownerLines(), relayLines(), lenderLines(), homeLines(), readerLines(), nodeLines(), failureLines(),
	} {
		all = append(all, group...)
	}
	return all
}

func gatewayLines() []Line {
	const role = "Entry daemon as gateway"
	return []Line{
		{Role: role, Quantity: "requests", Unit: "requests/s", Formula: "11,000 requests/s over 420 VMs",
			Mechanism: "load balancer of the platform before all VMs", BreaksFirst: "uneven balancing: a VM with ten times its part needs ten times the processor time below",
			value: func(in *inputs) float64 { return in.RequestsPerNode() }},
		{Role: role, Quantity: "generated tokens that pass", Unit: "tokens/s", Formula: "5.5 million tokens/s over 420 VMs",
			Mechanism: "net/http streams, one goroutine a request", BreaksFirst: "processor time per token",
			value: func(in *inputs) float64 { return in.TokensPerNode() }},
		{Role: role, Quantity: "processor time of requests and tokens", Unit: "% of a core", Formula: "requests/s x time of a request with 500 tokens; not control",
			Mechanism: "net/http and SSE on both sides", BreaksFirst: "one core at about six times this load",
			value: func(in *inputs) float64 {
				return percentOfOne * in.RequestsPerNode() * in.at("path.cpu_per_request", in.TokensPerRequest()) / microsPerSecond
			}},
		{Role: role, Quantity: "time that the daemon adds to an answer of 16 tokens, median", Unit: "ms", Budget: budgetFirstTokenMs, Formula: "measured through the daemon less direct, 4 requests at once",
			Assumed: "stands for the time added to a first token; queueing and loads come on top", Mechanism: "pins held in advance, so that no peer is asked on the way", BreaksFirst: "a load of an adapter that is not resident: 0.25 s and its queue",
			value: func(in *inputs) float64 { return in.measured("path.added_latency_p50", 16) / microsPerMilli }},
		{Role: role, Quantity: "processor time per token, as part of the gap between tokens", Unit: "ms", Budget: budgetTokenGapMs, Formula: "slope of processor time over tokens",
			Mechanism: "each token is passed on as it comes", BreaksFirst: "a busy core: waiting for the processor, not the work itself",
			value: func(in *inputs) float64 { return in.per("path.cpu_per_request") / microsPerMilli }},
		{Role: role, Quantity: "choosing an endpoint", Unit: "% of a core", Formula: "requests/s x time of a choice among the workers of a data centre",
			Mechanism: "filter, scorer, picker over the region's engines", BreaksFirst: "regions of more than some thousand workers",
			value: func(in *inputs) float64 {
				return percentOfOne * in.RequestsPerNode() * in.at("placement.pick_time_per_workers", in.WorkersPerDataCentre()) / microsPerSecond
			}},
	}
}

func ownerLines() []Line {
	const role = "Entry daemon as owner of endpoints"
	return []Line{
		{Role: role, Quantity: "endpoints owned", Unit: "endpoints", Formula: "10,000 workers over 420 VMs",
			Mechanism: "rendezvous hashing over the data centre's VM list", BreaksFirst: "spread of rendezvous hashing: about plus or minus 40% at 24 a VM",
			value: func(in *inputs) float64 { return in.WorkersPerNode() }},
		{Role: role, Quantity: "processor time of probes and plans", Unit: "% of a core", Budget: budgetCorePercent, Formula: "endpoints owned x slope",
			Mechanism: "one load report each 2 s by the owner only", BreaksFirst: "nothing below some hundred endpoints a VM",
			value: func(in *inputs) float64 { return in.per("control.cpu_per_owned_endpoint") * in.WorkersPerNode() }},
		{Role: role, Quantity: "memory of owned endpoints", Unit: "MB", Budget: budgetMegabytes, Formula: "endpoints owned x slope",
			Mechanism: "connections, reports and residency of each endpoint", BreaksFirst: "about 250 endpoints a VM",
			value: func(in *inputs) float64 {
				return in.per("control.memory_per_owned_endpoint") * in.WorkersPerNode() / bytesPerMegabyte
			}},
		{Role: role, Quantity: "memory of placement over the region", Unit: "MB", Budget: budgetMegabytes, Formula: "slope at the workers of a data centre",
			Mechanism: "residency of the region's engines, demand by adapter", BreaksFirst: "regions of several thousand workers",
			value: func(in *inputs) float64 {
				return in.at("placement.memory_per_workers", in.WorkersPerDataCentre()) / bytesPerMegabyte
			}},
		{Role: role, Quantity: "peer traffic of pins and waiting work", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "measured at 320 workers a data centre",
			Mechanism: "pins in batches to each owner, renewed only while used", BreaksFirst: "**this line**: pins must be renewed for many adapters at once; longer terms for popular adapters, or one VM of a data centre holding pins for all, would carry it",
			value: func(in *inputs) float64 {
				return in.measured("placement.peer_bytes_per_workers", 320) / bytesPerKilobyte
			}},
		{Role: role, Quantity: "load reports read from endpoints", Unit: "KB/s", Formula: "endpoints owned / 2 s x size; endpoint traffic, not between VMs", Assumed: "700 B a report with its headers",
			Mechanism: "HTTP over a kept connection", BreaksFirst: "counts against the control budget if that includes endpoints; conditional requests would cut it",
			value: func(in *inputs) float64 { return in.WorkersPerNode() / probeSeconds * reportBytes / bytesPerKilobyte }},
		{Role: role, Quantity: "adapters that wake, for each region's weight store", Unit: "loads/s", Budget: StatedTarget.StoreLoadsPerSecond, Formula: "33% of 12,000 adapters in an hour, over 11 regions' stores", Assumed: "one store a region with today's 3 loads/s; each waking adapter is loaded once in one region",
			Mechanism: "one load for all waiters, rights transferred as tokens", BreaksFirst: "copies by demand: ten copies of each waking adapter take a third of the store's rate",
			value: func(in *inputs) float64 { return in.WakingPerHour / secondsPerHour / in.Regions }},
	}
}

func relayLines() []Line {
	const role = "Entry daemon as relay of records"
	return []Line{
		{Role: role, Quantity: "records held", Unit: "records", Formula: "12,000 adapters, customers and keys each, 10,000 endpoints", Assumed: "one customer with one key for each adapter; the target does not state it",
			Mechanism: "full copy on each VM", BreaksFirst: "memory, see the whole VM",
			value: func(in *inputs) float64 { return in.Records() }},
		{Role: role, Quantity: "peer traffic of heartbeats and relay", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "slope at 13.5 VMs a data centre, 25,000 changes a day included",
			Mechanism: "heartbeats whose interval grows with the data centre, digests, deltas", BreaksFirst: "data centres of more than 25 VMs",
			value: func(in *inputs) float64 {
				return in.at("config.relay_bytes_per_vm_of_data_centre", in.NodesPerDataCentre()) / bytesPerKilobyte
			}},
		{Role: role, Quantity: "peer traffic inside a data centre, real processes", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "slope at 13.5 VMs; requests and replies, without TCP/IP headers; part of the line above",
			Mechanism: "as above", BreaksFirst: "as above",
			value: func(in *inputs) float64 {
				return in.at("control.peer_bytes_per_vm_of_data_centre", in.NodesPerDataCentre()) / bytesPerKilobyte
			}},
		{Role: role, Quantity: "time from publishing to force, longest", Unit: "s", Budget: budgetForceSeconds, Formula: "simulated fleet at 420 VMs, 31 data centres, 11 regions",
			Mechanism: "two watchers a data centre, relay by heartbeat and delta", BreaksFirst: "a region cut off from the platform: 2.7 s by way of other regions",
			value: func(in *inputs) float64 { return in.at("config.time_to_force_max", in.Nodes) }},
		{Role: role, Quantity: "more traffic at ten times the changes", Unit: "KB/s", Formula: "slope over changes a second x nine times 0.29 changes/s",
			Mechanism: "deltas carry only what is missing", BreaksFirst: "about 1.5 changes a second within the budget",
			value: func(in *inputs) float64 {
				return in.per("config.relay_bytes_per_change_rate") * 9 * in.ChangesPerSecond() / bytesPerKilobyte
			}},
	}
}

func lenderLines() []Line {
	const role = "Entry daemon as lender of tokens"
	return []Line{
		{Role: role, Quantity: "memory of buckets", Unit: "MB", Budget: budgetMegabytes, Formula: "12,000 customers x slope", Assumed: "12,000 customers",
			Mechanism: "one bucket a customer, shards with own locks", BreaksFirst: "some 100,000 customers",
			value: func(in *inputs) float64 {
				return in.at("limits.memory_per_customer", in.CustomersAssumed) / bytesPerMegabyte
			}},
		{Role: role, Quantity: "processor time of admissions with their messages", Unit: "% of a core", Budget: budgetCorePercent, Formula: "requests/s x time of a request at 420 VMs",
			Mechanism: "transfers on demand, same data centre first", BreaksFirst: "customers spread over all VMs",
			value: func(in *inputs) float64 {
				return percentOfOne * in.RequestsPerNode() * in.measured("limits.request_time_per_vm_home", 420) / nanosPerSecond
			}},
		{Role: role, Quantity: "peer traffic, bursts of 30 s of the rate", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "measured with 14 VMs a data centre, each customer in one data centre",
			Mechanism: "a VM's share of the burst is above the largest request, so that few requests gather", BreaksFirst: "shorter bursts, see the next line",
			value: func(in *inputs) float64 {
				return in.measured("limits.peer_bytes_per_burst_second", burstOfLongShares) / bytesPerKilobyte
			}},
		{Role: role, Quantity: "peer traffic, bursts of 12 s of the rate", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "measured with 420 VMs, each customer in one data centre",
			Mechanism: "gathering of tokens for each large request", BreaksFirst: "**this line**: a customer whose burst divided by its VMs is below a request; fewer VMs for small customers (published weights and seats) would carry it",
			value: func(in *inputs) float64 {
				return in.measured("limits.peer_bytes_per_burst_second", shortBurst) / bytesPerKilobyte
			}},
		{Role: role, Quantity: "peer traffic, customers spread over 128 VMs", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "measured; not run at 420 VMs",
			Mechanism: "as before", BreaksFirst: "**this line**: the target needs customers that live in few data centres; spread customers need a coarser division, such as one lending VM a data centre",
			value: func(in *inputs) float64 {
				return in.measured("limits.peer_bytes_per_vm_spread", 128) / bytesPerKilobyte
			}},
		{Role: role, Quantity: "requests refused within rate", Unit: "%", Budget: 0.1, Formula: "measured at 420 VMs, bursts of 12 s",
			Mechanism: "token transfer, waits of at most 1 s", BreaksFirst: "small customers; a longer wait of 4 s brings 8 VMs to 0.05%, see docs/limits.md",
			value: func(in *inputs) float64 { return in.measured("limits.refused_per_vm_home", 420) }},
	}
}

func homeLines() []Line {
	const role = "Entry daemon as home of idempotency keys"
	return []Line{
		{Role: role, Quantity: "claims held", Unit: "claims", Formula: "keyed calls/s x 3 homes x 600 s", Assumed: "1 in 100 requests is a keyed call",
			Mechanism: "three homes by rendezvous hashing", BreaksFirst: "30,000 claims a home, then calls are refused",
			value: func(in *inputs) float64 { return in.RequestsPerNode() * keyedShare * 3 * 600 }},
		{Role: role, Quantity: "memory of claims", Unit: "MB", Budget: budgetMegabytes, Formula: "claims x slope, answers of 200 bytes", Assumed: "as above",
			Mechanism: "answers up to 64 KiB, 8 MiB in all", BreaksFirst: "larger answers are kept as already answered",
			value: func(in *inputs) float64 {
				return in.per("config.claim_bytes") * in.RequestsPerNode() * keyedShare * 3 * 600 / bytesPerMegabyte
			}},
		{Role: role, Quantity: "peer traffic of claims", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "keyed calls/s x 3.0 KB, a figure of wagtailbench config", Assumed: "as above",
			Mechanism: "claim, commit, end to three homes", BreaksFirst: "about 7 in 100 requests keyed",
			value: func(in *inputs) float64 { return in.RequestsPerNode() * keyedShare * keyedCallBytes / bytesPerKilobyte }},
		{Role: role, Quantity: "unknown outcomes of 10,000 keyed calls", Unit: "calls", Formula: "slope at the kill rate of 8 VMs: 190 failures a day on 420", Assumed: "the simulated 8 VMs stand for a part of the fleet",
			Mechanism: "quorum of 2 of 3 homes", BreaksFirst: "kill rates of several a minute on 8 VMs: refusals, see docs/consistency.md",
			value: func(in *inputs) float64 {
				const simulatedNodes = 8
				kills := in.FailuresPerDay / secondsPerDay * secondsPerMinute * simulatedNodes / in.Nodes
				return in.per("config.outcome_unknown_per_10000") * kills
			}},
	}
}

func readerLines() []Line {
	const role = "Readers of the platform, and the operator's client"
	return []Line{
		{Role: role, Quantity: "platform calls without changes, waiting watches counted", Unit: "calls/s", Budget: budgetPlatformCalls, Formula: "slope at 31 data centres",
			Mechanism: "two watchers a data centre, each with two watches", BreaksFirst: "about 250 data centres",
			value: func(in *inputs) float64 { return in.at("config.platform_calls_per_data_centre", in.DataCentres) }},
		{Role: role, Quantity: "platform calls if all VMs restart at once", Unit: "calls/s", Budget: budgetPlatformCalls, Formula: "420 VMs x 2 reads over a jitter of 2 s, and the watches; wagtailbench config counts 762 in the busiest second",
			Mechanism: "peers are asked first; reads are jittered", BreaksFirst: "about 1,700 VMs",
			value: func(in *inputs) float64 {
				return in.Nodes*listingsAtRestart/restartJitter + in.at("config.platform_calls_per_data_centre", in.DataCentres)
			}},
		{Role: role, Quantity: "operator's client: status of all VMs", Unit: "requests", Formula: "one request a VM for status or burn",
			Mechanism: "wagtailctl asks each VM it is given; no state of its own", BreaksFirst: "reading 12,000 customers of 420 VMs for one table",
			value: func(in *inputs) float64 { return in.Nodes }},
	}
}

// controlMemory adds up the parts of one VM's memory for control.
func controlMemory(in *inputs) float64 {
	sum := in.measured("control.memory_per_remote_endpoint", in.Workers)
	sum += in.per("control.memory_per_vm_of_data_centre") * in.NodesPerDataCentre()
	sum += in.per("control.memory_per_owned_endpoint") * in.WorkersPerNode()
	sum += in.at("placement.memory_per_workers", in.WorkersPerDataCentre())
	return sum / bytesPerMegabyte
}

func controlCPU(in *inputs) float64 {
	sum := in.measured("control.cpu_per_remote_endpoint", in.Workers)
	sum += in.per("control.cpu_per_vm_of_data_centre") * in.NodesPerDataCentre()
	sum += in.per("control.cpu_per_owned_endpoint") * in.WorkersPerNode()
	sum += percentOfOne * in.RequestsPerNode() * in.measured("limits.request_time_per_vm_home", 420) / nanosPerSecond
	return sum
}

func controlTraffic(in *inputs) float64 {
	sum := in.at("config.relay_bytes_per_vm_of_data_centre", in.NodesPerDataCentre())
	sum += in.measured("limits.peer_bytes_per_burst_second", burstOfLongShares)
	sum += in.measured("placement.peer_bytes_per_workers", 320)
	sum += in.RequestsPerNode() * keyedShare * keyedCallBytes
	return sum / bytesPerKilobyte
}

func nodeLines() []Line {
	const role = "One VM, all control together"
	return []Line{
		{Role: role, Quantity: "processor time", Unit: "% of a core", Budget: budgetCorePercent, Formula: "idle daemon with all records, its data centre's VMs, owned endpoints, admissions",
			Mechanism: "decisions in memory, one owner an endpoint", BreaksFirst: "the collector, which works against the memory limit",
			value: controlCPU},
		{Role: role, Quantity: "memory", Unit: "MB", Budget: budgetMegabytes, Formula: "resident memory of that daemon, its data centre's VMs, owned endpoints, placement",
			Mechanism: "full copy of the records; limits.memoryBytes bounds the collector's headroom", BreaksFirst: "**this line first**: records of other regions' endpoints could be left out, and raw values compressed",
			value: controlMemory},
		{Role: role, Quantity: "peer traffic", Unit: "KB/s", Budget: budgetKilobytesPerSec, Formula: "relay, limits with bursts of 30 s, pins and waiting work, claims",
			Mechanism: "batches, heartbeats that carry digests", BreaksFirst: "**pins and waiting work**, see the owner of endpoints",
			value: controlTraffic},
	}
}

func failureLines() []Line {
	const role = "Failures"
	return []Line{
		{Role: role, Quantity: "VMs that fail or are replaced", Unit: "VMs/min", Formula: "1,390 a day over the fleet",
			Mechanism: "a new list revision for each; owners move by rendezvous hashing", BreaksFirst: "list changes faster than handovers of 15 s in one data centre",
			value: func(in *inputs) float64 {
				return (in.FailuresPerDay + in.ReplacementsPerDay) / secondsPerDay * secondsPerMinute
			}},
		{Role: role, Quantity: "a rack: endpoints that get a new owner", Unit: "endpoints", Formula: "4 VMs x endpoints owned", Assumed: "a rack holds 4 entry VMs and 96 workers",
			Mechanism: "new owners wait up to 15 s for pins and orders (less on engines with fencing tokens), 77 s for evictions; pins in force go on serving", BreaksFirst: "adapters that are not resident wait during that time unless another endpoint takes them",
			value: func(in *inputs) float64 { return rackNodes * in.WorkersPerNode() }},
		{Role: role, Quantity: "a rack: time to load the adapters of its workers elsewhere", Unit: "min", Formula: "96 workers x 8 slots / 3 loads/s", Assumed: "all slots held adapters in use; a store a region",
			Mechanism: "load rights keep to the store's rate", BreaksFirst: "**the store's rate**: a faster store or weights from neighbouring engines",
			value: func(in *inputs) float64 {
				return rackWorkers * in.SlotsPerWorker / in.StoreLoadsPerSecond / secondsPerMinute
			}},
		{Role: role, Quantity: "a data centre: time to load its adapters elsewhere", Unit: "min", Formula: "323 workers x 8 slots / 3 loads/s", Assumed: "as above",
			Mechanism: "as above; the least used adapters come last", BreaksFirst: "**the store's rate**, as above",
			value: func(in *inputs) float64 {
				return in.WorkersPerDataCentre() * in.SlotsPerWorker / in.StoreLoadsPerSecond / secondsPerMinute
			}},
		{Role: role, Quantity: "a data centre: requests that move to the other ones of its region", Unit: "% more", Formula: "one of 2.8 data centres",
			Mechanism: "balancer and routing by region", BreaksFirst: "accelerators, long before the entry VMs",
			value: func(in *inputs) float64 { return percentOfOne / (in.DataCentresPerRegion() - 1) }},
		{Role: role, Quantity: "a region cut for an hour: changes to catch up with", Unit: "changes", Formula: "25,000 a day for an hour",
			Mechanism: "deltas after the cut; the region serves with its view and says how old it is", BreaksFirst: "nothing: 10,000 tombstones are kept",
			value: func(in *inputs) float64 { return in.ChangesPerDay * secondsPerHour / secondsPerDay }},
		{Role: role, Quantity: "a region cut for an hour: bytes to catch up with, each VM", Unit: "MB", Formula: "changes x bytes of a record",
			Mechanism: "deltas from the nearest peer that has them", BreaksFirst: "nothing: a second of one link",
			value: func(in *inputs) float64 {
				return in.ChangesPerDay * secondsPerHour / secondsPerDay * in.per("config.catalog_bytes_per_record") / bytesPerMegabyte
			}},
		{Role: role, Quantity: "all VMs of a data centre restart: records to read again", Unit: "MB", Formula: "13.5 VMs x all records; from peers of other data centres or two listings each",
			Mechanism: "bootstrap from peers before the platform", BreaksFirst: "links between data centres",
			value: func(in *inputs) float64 {
				return in.NodesPerDataCentre() * in.per("config.catalog_bytes_per_record") * in.Records() / bytesPerMegabyte
			}},
		{Role: role, Quantity: "all VMs of a data centre restart: time until buckets hold a request of 900 tokens", Unit: "s", Formula: "900 tokens / the data centre's part of the mean rate", Assumed: "rate of a customer: 5.5 million tokens/s over 12,000 customers, in one data centre",
			Mechanism: "empty start, borrowing between VMs", BreaksFirst: "customers whose rate is far below the mean",
			value: func(in *inputs) float64 { return 900 / (in.TokensPerSecond / in.CustomersAssumed) }},
	}
}
