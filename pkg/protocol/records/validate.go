package records

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// The limits of record fields. Those that start with max are the largest
// allowed values.
const (
	maxSeats               = 1024
	maxWeight              = 1e6
	maxTokensPerSecond     = 1e9
	maxBurstTokens         = 1e12
	maxRepeatWindowSeconds = 86_400
	maxTimeoutMillis       = 600_000
	maxSlots               = 4096
	maxBatchSize           = 65_536
	maxLoadsPerSecond      = 1e6
	maxLoadsInFlight       = 1e6
	sha256Bytes            = 32
)

// validate checks the spec of a record of the newest schema version.
func validate(record Record) *FieldError {
	switch record.Kind {
	case KindDataCentre:
		return validateDataCentre(record.DataCentre)
	case KindCustomer:
		return validateCustomer(record.Customer)
	case KindKey:
		return validateKey(record.Key)
	case KindAdapter:
		return validateAdapter(record.Adapter)
	case KindRoute:
		return validateRoute(record.Route)
	case KindEndpoint:
		return validateEndpoint(record.Endpoint)
	case KindWeightStore:
		return validateWeightStore(record.WeightStore)
	}
	return &FieldError{Field: "kind", Problem: fmt.Sprintf("unknown kind %q", record.Kind)}
}

func validateDataCentre(spec *DataCentre) *FieldError {
	return firstError(
		notEmpty("spec.region", spec.Region),
		inRange("spec.seats", float64(spec.Seats), 1, maxSeats),
		inRange("spec.weight", spec.Weight, math.SmallestNonzeroFloat64, maxWeight),
	)
}

func validateCustomer(spec *Customer) *FieldError {
	for id, weight := range spec.DataCentreWeights {
		if err := inRange("spec.dataCentreWeights."+string(id), weight, 0, maxWeight); err != nil {
			return err
		}
	}
	return firstError(
		inRange("spec.tokensPerSecond", spec.TokensPerSecond, math.SmallestNonzeroFloat64, maxTokensPerSecond),
		inRange("spec.burstTokens", spec.BurstTokens, 1, maxBurstTokens),
		inRange("spec.weight", spec.Weight, math.SmallestNonzeroFloat64, maxWeight),
	)
}

func validateKey(spec *Key) *FieldError {
	hash, err := hex.DecodeString(spec.SHA256)
	if err != nil || len(hash) != sha256Bytes || spec.SHA256 != strings.ToLower(spec.SHA256) {
		return &FieldError{Field: "spec.sha256", Problem: "want 64 lower-case hexadecimal digits"}
	}
	return notEmpty("spec.customer", string(spec.Customer))
}

func validateAdapter(spec *Adapter) *FieldError {
	if len(spec.Versions) == 0 {
		return &FieldError{Field: "spec.versions", Problem: "want at least one version"}
	}
	seen := make(map[ids.AdapterVersion]bool)
	for i, version := range spec.Versions {
		path := fmt.Sprintf("spec.versions[%d]", i)
		if version.Version == 0 || seen[version.Version] {
			return &FieldError{Field: path + ".version", Problem: fmt.Sprintf("%d is zero or listed twice", version.Version)}
		}
		seen[version.Version] = true
		if err := oneOf(path+".state", version.State, VersionActive, VersionWithdrawn); err != nil {
			return err
		}
	}
	if !seen[spec.DefaultVersion] {
		return &FieldError{Field: "spec.defaultVersion", Problem: fmt.Sprintf("version %d is not in spec.versions", spec.DefaultVersion)}
	}
	return notEmpty("spec.baseModel", spec.BaseModel)
}

func validateRoute(spec *Route) *FieldError {
	if !strings.HasPrefix(spec.PathPrefix, "/") {
		return &FieldError{Field: "spec.pathPrefix", Problem: fmt.Sprintf("%q does not start with a slash", spec.PathPrefix)}
	}
	if spec.Kind == EndpointService && spec.Service == "" {
		return &FieldError{Field: "spec.service", Problem: "missing for a route of kind service"}
	}
	return firstError(
		oneOf("spec.kind", spec.Kind, EndpointModel, EndpointService),
		oneOf("spec.policy", spec.Policy, PolicyLatency, PolicyThroughput),
		inRange("spec.repeatWindowSeconds", float64(spec.RepeatWindowSeconds), 1, maxRepeatWindowSeconds),
		inRange("spec.timeoutMillis", float64(spec.TimeoutMillis), 1, maxTimeoutMillis),
	)
}

func validateEndpoint(spec *Endpoint) *FieldError {
	if _, err := netip.ParseAddrPort(spec.Address); err != nil {
		return &FieldError{Field: "spec.address", Problem: fmt.Sprintf("%q is not an IP number and port", spec.Address)}
	}
	if err := firstError(
		notEmpty("spec.dataCentre", string(spec.DataCentre)),
		oneOf("spec.kind", spec.Kind, EndpointModel, EndpointService),
		oneOf("spec.state", spec.State, EndpointServing, EndpointLeaving),
	); err != nil {
		return err
	}
	if spec.Kind == EndpointService {
		return notEmpty("spec.service", spec.Service)
	}
	return firstError(
		notEmpty("spec.baseModel", spec.BaseModel),
		inRange("spec.slots", float64(spec.Slots), 1, maxSlots),
		inRange("spec.maxBatch", float64(spec.MaxBatch), 1, maxBatchSize),
	)
}

func validateWeightStore(spec *WeightStore) *FieldError {
	return firstError(
		inRange("spec.loadsPerSecond", spec.LoadsPerSecond, math.SmallestNonzeroFloat64, maxLoadsPerSecond),
		inRange("spec.maxInFlight", float64(spec.MaxInFlight), 1, maxLoadsInFlight),
	)
}

// firstError returns the first error that is not nil.
func firstError(errors ...*FieldError) *FieldError {
	for _, err := range errors {
		if err != nil {
			return err
		}
	}
	return nil
}

// notEmpty returns an error if a required field is empty.
func notEmpty(field, value string) *FieldError {
	if value == "" {
		return &FieldError{Field: field, Problem: "missing"}
	}
	return nil
}

// inRange returns an error if a value is not between low and high, both
// allowed. The smallest positive float as low stands for "above 0".
func inRange(field string, value, low, high float64) *FieldError {
	if value >= low && value <= high {
		return nil
	}
	if low == math.SmallestNonzeroFloat64 {
		return &FieldError{Field: field, Problem: fmt.Sprintf("%v is out of range, want above 0 and at most %v", value, high)}
	}
	return &FieldError{Field: field, Problem: fmt.Sprintf("%v is out of range, want %v to %v", value, low, high)}
}

// oneOf returns an error if a value is not among the allowed ones.
func oneOf[T ~string](field string, value T, allowed ...T) *FieldError {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{Field: field, Problem: fmt.Sprintf("%q is not allowed, want one of %q", value, allowed)}
}
