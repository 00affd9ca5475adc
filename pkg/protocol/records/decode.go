package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxValueBytes is the size of the largest value that the configuration service
// stores.
const MaxValueBytes = 1 << 20

// FieldError says which field of a record is invalid and why.
type FieldError struct {
	// Record is the key of the record, in the form kind/id.
	Record string
	// Field is the path of the field, such as spec.seats.
	Field string
	// Problem says what is wrong and, where it helps, which values are allowed.
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("record %s: %s: %s", e.Record, e.Field, e.Problem)
}

// envelope is the outer JSON object of every record.
type envelope struct {
	Kind   Kind            `json:"kind"`
	Schema int             `json:"schema"`
	ID     string          `json:"id"`
	Spec   json.RawMessage `json:"spec"`
}

// specDecoder decodes the spec of one kind and schema version into the field of
// the record that belongs to the kind, and sets defaults.
type specDecoder func(spec json.RawMessage, record *Record) error

// specDecoders holds the decoder of every supported schema version by kind.
// Records of different schema versions may be published side by side.
var specDecoders = map[Kind]map[int]specDecoder{
	KindDataCentre:  {1: decodeDataCentre},
	KindCustomer:    {1: decodeCustomerV1, 2: decodeCustomerV2},
	KindKey:         {1: decodeKey},
	KindAdapter:     {1: decodeAdapter},
	KindRoute:       {1: decodeRoute},
	KindEndpoint:    {1: decodeEndpoint},
	KindWeightStore: {1: decodeWeightStore},
}

// Decode parses and validates the value published under a key, and upgrades it
// to the newest schema version. An invalid record is rejected as a whole with a
// *FieldError.
func Decode(key string, value []byte) (Record, error) {
	if len(value) > MaxValueBytes {
		return Record{}, &FieldError{Record: key, Field: "value", Problem: fmt.Sprintf("%d bytes, want at most %d", len(value), MaxValueBytes)}
	}
	var env envelope
	if err := unmarshalStrict(value, &env); err != nil {
		return Record{}, &FieldError{Record: key, Field: "value", Problem: err.Error()}
	}
	if err := validateEnvelope(key, env); err != nil {
		return Record{}, err
	}
	record := Record{Kind: env.Kind, ID: env.ID, Schema: env.Schema}
	if err := specDecoders[env.Kind][env.Schema](env.Spec, &record); err != nil {
		return Record{}, &FieldError{Record: key, Field: "spec", Problem: err.Error()}
	}
	if err := validate(record); err != nil {
		err.Record = key
		return Record{}, err
	}
	return record, nil
}

// validateEnvelope checks the kind, schema version and id of a record, and that
// it is published under its own key.
func validateEnvelope(key string, env envelope) error {
	decoders, known := specDecoders[env.Kind]
	if !known {
		return &FieldError{Record: key, Field: "kind", Problem: fmt.Sprintf("unknown kind %q", env.Kind)}
	}
	if _, known := decoders[env.Schema]; !known {
		return &FieldError{Record: key, Field: "schema", Problem: fmt.Sprintf("unknown schema %d, want one of %v", env.Schema, schemaVersions(decoders))}
	}
	if env.ID == "" || strings.ContainsAny(env.ID, "/ \t\n") {
		return &FieldError{Record: key, Field: "id", Problem: fmt.Sprintf("%q is empty or has a slash or a space", env.ID)}
	}
	if want := string(env.Kind) + "/" + env.ID; want != key {
		return &FieldError{Record: key, Field: "id", Problem: fmt.Sprintf("the record belongs under key %q", want)}
	}
	if len(env.Spec) == 0 {
		return &FieldError{Record: key, Field: "spec", Problem: "missing"}
	}
	return nil
}

// schemaVersions lists the supported schema versions of a kind in ascending
// order.
func schemaVersions(decoders map[int]specDecoder) []int {
	var numbers []int
	for number := range decoders {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// unmarshalStrict parses one JSON value and rejects unknown fields and data
// after the value.
func unmarshalStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("data after the JSON value")
	}
	return nil
}

func decodeDataCentre(spec json.RawMessage, record *Record) error {
	record.DataCentre = &DataCentre{}
	if err := unmarshalStrict(spec, record.DataCentre); err != nil {
		return err
	}
	if record.DataCentre.Weight == 0 {
		record.DataCentre.Weight = 1
	}
	return nil
}

// customerV1 is the spec of a customer in schema version 1, with the rate per
// minute.
type customerV1 struct {
	TokensPerMinute float64 `json:"tokensPerMinute"`
	BurstTokens     float64 `json:"burstTokens"`
}

const secondsPerMinute = 60

func decodeCustomerV1(spec json.RawMessage, record *Record) error {
	var v1 customerV1
	if err := unmarshalStrict(spec, &v1); err != nil {
		return err
	}
	record.Customer = &Customer{
		TokensPerSecond: v1.TokensPerMinute / secondsPerMinute,
		BurstTokens:     v1.BurstTokens,
		Weight:          1,
	}
	return nil
}

func decodeCustomerV2(spec json.RawMessage, record *Record) error {
	record.Customer = &Customer{}
	if err := unmarshalStrict(spec, record.Customer); err != nil {
		return err
	}
	if record.Customer.Weight == 0 {
		record.Customer.Weight = 1
	}
	return nil
}

func decodeKey(spec json.RawMessage, record *Record) error {
	record.Key = &Key{}
	return unmarshalStrict(spec, record.Key)
}

func decodeAdapter(spec json.RawMessage, record *Record) error {
	record.Adapter = &Adapter{}
	return unmarshalStrict(spec, record.Adapter)
}

// The defaults of a route.
const (
	defaultRepeatWindowSeconds = 600
	defaultTimeoutMillis       = 30_000
)

func decodeRoute(spec json.RawMessage, record *Record) error {
	route := &Route{}
	record.Route = route
	if err := unmarshalStrict(spec, route); err != nil {
		return err
	}
	if route.RepeatWindowSeconds == 0 {
		route.RepeatWindowSeconds = defaultRepeatWindowSeconds
	}
	if route.TimeoutMillis == 0 {
		route.TimeoutMillis = defaultTimeoutMillis
	}
	if route.Policy == "" {
		route.Policy = PolicyLatency
	}
	return nil
}

func decodeEndpoint(spec json.RawMessage, record *Record) error {
	record.Endpoint = &Endpoint{}
	return unmarshalStrict(spec, record.Endpoint)
}

func decodeWeightStore(spec json.RawMessage, record *Record) error {
	record.WeightStore = &WeightStore{}
	return unmarshalStrict(spec, record.WeightStore)
}
