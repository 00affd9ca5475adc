package harness3

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Attempts                    int
	Resume, Anonymous           bool
	TimeoutMs, ObjectiveMs      int
}

// Tenant is a tenant of the configuration, whose rates are counted in tokens.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// Names that all cases use.
const (
	Host  = "calls.example"
	Model = "m0"
	// Adapters is the number of adapters of the model.
	Adapters = 3000
	// Engines and Plain are the names of the services.
	Engines = "assist"
	Plain   = "booking"
)

// Configuration returns a version of the configuration with the services Engines and Plain.
// Without tenants, the field is left out.
func Configuration(version int, routes []Route, tenants []Tenant) map[string]any {
	var routeList, tenantList []any
	for _, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": r.Name, "host": Host, "path-prefix": r.Prefix, "kind": r.Kind, "service": r.Service, "timeout-ms": r.TimeoutMs,
			"objective-ms": r.ObjectiveMs, "attempts": r.Attempts, "priority": 1, "allow-resume": r.Resume, "gap-objective-ms": 300,
			"allow-anonymous": r.Anonymous,
		})
	}
	for _, t := range tenants {
		tenantList = append(tenantList, map[string]any{
			"name": t.Name, "keys": t.Keys, "unit": "token_count", "plain-tokens": 200, "rate-per-s": t.Rate, "burst": t.Burst,
		})
	}
	config := map[string]any{
		"version": version, "routes": routeList,
		"services": []any{
			map[string]any{"name": Engines, "connection-limit": 370, "health-path": "/health", "engine": map[string]any{
				"slots": 64, "stride": 2, "kv-capacity-tokens": 131460, "weights-mb": 67000, "adapter-slots": 21, "loads-per-s": 3.3,
				"models": []any{map[string]any{"name": Model, "weights-mb": 65100, "load-s": 0.72, "adapters": Adapters, "adapter-mb": 40}},
			}},
			map[string]any{"name": Plain, "connection-limit": 96, "health-path": "/health"},
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenantList
	}
	return config
}

// NewEngine returns an engine of the service Engines, like those of the site strainers.
func NewEngine(id, zone string) *Worker {
	return &Worker{ID: id, Service: Engines, Zone: zone, Model: Model, Slots: 64, KVTokens: 131460}
}

// NewPlain returns a worker of the service Plain.
func NewPlain(id, zone string) *Worker {
	return &Worker{ID: id, Service: Plain, Zone: zone, Slots: 6}
}
