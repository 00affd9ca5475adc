package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxValueBytes is the largest value that the configuration service holds.
const MaxValueBytes = 1 << 20

// FieldError tells which field of a record is wrong and why.
type FieldError struct {
	// Record is the key of the record, as kind/id.
	Record string
	// Field is the path of the field, such as spec.seats.
	Field string
	// Problem tells what is wrong and which values are allowed.
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("record %s: %s: %s", e.Record, e.Field, e.Problem)
}

// envelope is the outer form of every record.
type envelope struct {
	Kind   Kind            `json:"kind"`
	Schema int             `json:"schema"`
	ID     string          `json:"id"`
	Spec   json.RawMessage `json:"spec"`
}

// kindCodec decodes the spec of one kind in one schema version.
type kindCodec func(spec json.RawMessage, into *Record) error

// codecs lists the schema versions that are valid side by side.
var codecs = map[Kind]map[int]kindCodec{
	KindDataCentre:  {1: decodeDataCentre},
	KindCustomer:    {1: decodeCustomerV1, 2: decodeCustomerV2},
	KindKey:         {1: decodeKey},
	KindAdapter:     {1: decodeAdapter},
	KindRoute:       {1: decodeRoute},
	KindEndpoint:    {1: decodeEndpoint},
	KindWeightStore: {1: decodeWeightStore},
}

// Decode reads the value published under key, checks it and upgrades it to
// the newest form. A wrong record is refused whole with a *FieldError.
func Decode(key string, value []byte) (Record, error) {
	if len(value) > MaxValueBytes {
		return Record{}, &FieldError{Record: key, Field: "value", Problem: fmt.Sprintf("%d bytes, want at most %d", len(value), MaxValueBytes)}
	}
	var outer envelope
	if err := strictUnmarshal(value, &outer); err != nil {
		return Record{}, &FieldError{Record: key, Field: "value", Problem: err.Error()}
	}
	if err := checkEnvelope(key, outer); err != nil {
		return Record{}, err
	}
	record := Record{Kind: outer.Kind, ID: outer.ID, Schema: outer.Schema}
	if err := codecs[outer.Kind][outer.Schema](outer.Spec, &record); err != nil {
		return Record{}, &FieldError{Record: key, Field: "spec", Problem: err.Error()}
	}
	if err := validate(record); err != nil {
		err.Record = key
		return Record{}, err
	}
	return record, nil
}

func checkEnvelope(key string, outer envelope) error {
	versions, known := codecs[outer.Kind]
	if !known {
		return &FieldError{Record: key, Field: "kind", Problem: fmt.Sprintf("unknown kind %q", outer.Kind)}
	}
	if _, known := versions[outer.Schema]; !known {
		return &FieldError{Record: key, Field: "schema", Problem: fmt.Sprintf("unknown schema %d, want one of %v", outer.Schema, schemas(versions))}
	}
	if outer.ID == "" || strings.ContainsAny(outer.ID, "/ \t\n") {
		return &FieldError{Record: key, Field: "id", Problem: fmt.Sprintf("%q is empty or has a slash or a space", outer.ID)}
	}
	if want := string(outer.Kind) + "/" + outer.ID; want != key {
		return &FieldError{Record: key, Field: "id", Problem: fmt.Sprintf("the record belongs under key %q", want)}
	}
	if len(outer.Spec) == 0 {
		return &FieldError{Record: key, Field: "spec", Problem: "missing"}
	}
	return nil
}

func schemas(versions map[int]kindCodec) []int {
	var numbers []int
	for number := range versions {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// strictUnmarshal refuses unknown fields and data after the value.
func strictUnmarshal(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("data after the JSON value")
	}
	return nil
}

func decodeDataCentre(spec json.RawMessage, into *Record) error {
	into.DataCentre = &DataCentre{}
	if err := strictUnmarshal(spec, into.DataCentre); err != nil {
		return err
	}
	if into.DataCentre.Weight == 0 {
		into.DataCentre.Weight = 1
	}
	return nil
}

// customerV1 is schema version 1 of a customer, with limits per minute.
type customerV1 struct {
	TokensPerMinute float64 `json:"tokensPerMinute"`
	BurstTokens     float64 `json:"burstTokens"`
}

const secondsPerMinute = 60

func decodeCustomerV1(spec json.RawMessage, into *Record) error {
	var old customerV1
	if err := strictUnmarshal(spec, &old); err != nil {
		return err
	}
	into.Customer = &Customer{
		TokensPerSecond: old.TokensPerMinute / secondsPerMinute,
		BurstTokens:     old.BurstTokens,
		Weight:          1,
	}
	return nil
}

func decodeCustomerV2(spec json.RawMessage, into *Record) error {
	into.Customer = &Customer{}
	if err := strictUnmarshal(spec, into.Customer); err != nil {
		return err
	}
	if into.Customer.Weight == 0 {
		into.Customer.Weight = 1
	}
	return nil
}

func decodeKey(spec json.RawMessage, into *Record) error {
	into.Key = &Key{}
	return strictUnmarshal(spec, into.Key)
}

func decodeAdapter(spec json.RawMessage, into *Record) error {
	into.Adapter = &Adapter{}
	return strictUnmarshal(spec, into.Adapter)
}

// The defaults of a route.
const (
	defaultRepeatWindowSeconds = 600
	defaultTimeoutMillis       = 30_000
)

func decodeRoute(spec json.RawMessage, into *Record) error {
	route := &Route{}
	into.Route = route
	if err := strictUnmarshal(spec, route); err != nil {
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

func decodeEndpoint(spec json.RawMessage, into *Record) error {
	into.Endpoint = &Endpoint{}
	return strictUnmarshal(spec, into.Endpoint)
}

func decodeWeightStore(spec json.RawMessage, into *Record) error {
	into.WeightStore = &WeightStore{}
	return strictUnmarshal(spec, into.WeightStore)
}
