package ctl

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/configcheck"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// engineService stands for the engines, which routes of kind model use.
const engineService = "model engines"

// locatedRecord is a record and where it is written.
type locatedRecord struct {
	parsedRecord
	// position returns where a field of the record, or the value around it, is
	// written.
	position func(field string) configcheck.Position
}

// recordSet is a file of records as a document to check.
type recordSet struct {
	document *configcheck.Document
	records  []locatedRecord
	// complete says that all records of the file could be decoded.
	complete bool
}

// locateRecords parses the records of a file. Findings are the records that VMs
// refuse.
func locateRecords(file string, data []byte) ([]locatedRecord, []configcheck.Finding) {
	var located []locatedRecord
	var findings []configcheck.Finding
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var value json.RawMessage
		if err := decoder.Decode(&value); errors.Is(err, io.EOF) {
			return located, findings
		} else if err != nil {
			offset := decoder.InputOffset()
			var syntaxError *json.SyntaxError
			if errors.As(err, &syntaxError) {
				offset = syntaxError.Offset
			}
			at := configcheck.Position{File: file, Line: configcheck.LineAt(data, offset)}
			return located, append(findings, configcheck.Finding{Severity: configcheck.Error, Position: at, Problem: "not valid JSON: " + err.Error()})
		}
		base := decoder.InputOffset() - int64(len(value))
		locations, err := configcheck.Locate(value)
		if err != nil {
			return located, append(findings, configcheck.Finding{Severity: configcheck.Error, Position: configcheck.Position{File: file}, Problem: err.Error()})
		}
		prefixes := []string{""}
		if value[0] == '[' {
			var elements []json.RawMessage
			if err := json.Unmarshal(value, &elements); err != nil {
				return located, append(findings, configcheck.Finding{Severity: configcheck.Error, Position: configcheck.Position{File: file}, Problem: err.Error()})
			}
			prefixes = prefixes[:0]
			for i := range elements {
				prefixes = append(prefixes, fmt.Sprintf("[%d]", i))
			}
		}
		for _, prefix := range prefixes {
			at := locations.Find(prefix)
			parsed, err := parseRecord(value[at.Start:at.End])
			position := func(field string) configcheck.Position {
				found := locations.Find(strings.TrimPrefix(prefix+"."+field, "."))
				path := strings.Trim(strings.TrimPrefix(found.Path, prefix), ".")
				return configcheck.Position{File: file, Line: configcheck.LineAt(data, base+found.Start), Path: strings.TrimSuffix(parsed.key+" "+path, " ")}
			}
			var fieldError *records.FieldError
			switch {
			case errors.As(err, &fieldError):
				findings = append(findings, configcheck.Finding{Severity: configcheck.Error, Position: position(fieldError.Field), Problem: fieldError.Problem})
			case err != nil:
				findings = append(findings, configcheck.Finding{Severity: configcheck.Error, Position: position(""), Problem: err.Error()})
			default:
				located = append(located, locatedRecord{parsedRecord: parsed, position: position})
			}
		}
	}
}

// recordFields holds the names of the fields that the check refers to. Fields that
// a record lacks stand for the record.
var recordFields = map[configcheck.Field]string{
	configcheck.FieldName: "id", configcheck.FieldPathPrefix: "spec.pathPrefix", configcheck.FieldKind: "spec.idempotentMethods",
	configcheck.FieldSplits: "spec.service", configcheck.FieldTimeout: "spec.timeoutMillis", configcheck.FieldOpen: "spec.open",
	configcheck.FieldRate: "spec.tokensPerSecond", configcheck.FieldBurst: "spec.burstTokens",
}

// decodeRecordSet decodes a file that holds the whole set of records.
func decodeRecordSet(file string, data []byte) (*recordSet, []configcheck.Finding) {
	located, findings := locateRecords(file, data)
	complete := len(findings) == 0
	// Of two routes with the same prefix, VMs use the one with the lower id.
	slices.SortStableFunc(located, func(a, b locatedRecord) int { return cmp.Compare(a.key, b.key) })
	byKey := make(map[string]locatedRecord)
	for _, record := range located {
		if first, repeated := byKey[record.key]; repeated {
			at := first.position("")
			findings = append(findings, configcheck.Finding{Severity: configcheck.Error, Position: record.position("id"), Problem: "the record appears twice", HiddenBy: &at})
			continue
		}
		byKey[record.key] = record
	}
	var parsed []parsedRecord
	for _, record := range located {
		parsed = append(parsed, record.parsedRecord)
	}
	for _, problem := range danglingReferences(parsed) {
		var fieldError *records.FieldError
		if errors.As(problem, &fieldError) {
			findings = append(findings, configcheck.Finding{Severity: configcheck.Error, Position: byKey[fieldError.Record].position(fieldError.Field), Problem: fieldError.Problem})
		}
	}
	document, more := toDocument(file, located)
	return &recordSet{document: document, records: located, complete: complete}, append(findings, more...)
}

// toDocument converts records to the configuration that the check works on.
func toDocument(file string, located []locatedRecord) (*configcheck.Document, []configcheck.Finding) {
	config := &serving.Config{Services: map[string]*serving.Service{engineService: {Name: engineService}}}
	var routes, customers []locatedRecord
	indices := make(map[ids.CustomerID]int)
	for _, record := range located {
		switch {
		case record.record.Route != nil:
			routes = append(routes, record)
			config.Routes = append(config.Routes, toServingRoute(record.record))
			config.Services[record.record.Route.Service] = &serving.Service{Name: record.record.Route.Service}
		case record.record.Customer != nil:
			id := ids.CustomerID(record.record.ID)
			if _, repeated := indices[id]; repeated {
				continue
			}
			indices[id] = len(customers)
			customers = append(customers, record)
			config.Customers = append(config.Customers, serving.Customer{ID: id, CountTokens: true, Rate: record.record.Customer.TokensPerSecond, Burst: record.record.Customer.BurstTokens})
		}
	}
	keys := make(map[ids.CustomerID][]locatedRecord)
	firstByHash := make(map[string]locatedRecord)
	var findings []configcheck.Finding
	for _, record := range located {
		key := record.record.Key
		if key == nil {
			continue
		}
		if first, repeated := firstByHash[key.SHA256]; repeated {
			at := first.position("spec.sha256")
			findings = append(findings, configcheck.Finding{Severity: configcheck.Error, Position: record.position("spec.sha256"), Problem: "another record has the same key; the one that was published first is used", HiddenBy: &at})
			continue
		}
		firstByHash[key.SHA256] = record
		if index, known := indices[key.Customer]; known {
			config.Customers[index].Keys = append(config.Customers[index].Keys, key.SHA256)
			keys[key.Customer] = append(keys[key.Customer], record)
		}
	}
	return &configcheck.Document{
		Config: config,
		Position: func(ref configcheck.Ref) configcheck.Position {
			switch {
			case ref.Section == configcheck.Routes && ref.Index < len(routes):
				return routes[ref.Index].position(recordFields[ref.Field])
			case ref.Section == configcheck.Customers && ref.Field == configcheck.FieldKeys && ref.Item >= 0:
				return keys[config.Customers[ref.Index].ID][ref.Item].position("spec.sha256")
			case ref.Section == configcheck.Customers && ref.Index < len(customers):
				return customers[ref.Index].position(recordFields[ref.Field])
			}
			return configcheck.Position{File: file}
		},
		Route: func(_, path string) *serving.Route { return routeOfSegments(config, path) },
	}, findings
}

func toServingRoute(record records.Record) serving.Route {
	spec := record.Route
	route := serving.Route{
		ID: ids.RouteID(record.ID), Host: "*", PathPrefix: spec.PathPrefix, Open: spec.Open, Attempts: 1,
		Timeout: time.Duration(spec.TimeoutMillis) * time.Millisecond,
		Splits:  []serving.Split{{Service: cmp.Or(spec.Service, engineService), Weight: 1}},
	}
	if len(spec.IdempotentMethods) > 0 {
		route.Kind = serving.Safe
	}
	return route
}

// routeOfSegments returns the first route with the longest prefix of a path. As in
// package catalog, a prefix matches whole segments.
func routeOfSegments(config *serving.Config, path string) *serving.Route {
	var best *serving.Route
	for i := range config.Routes {
		route := &config.Routes[i]
		matches := path == route.PathPrefix || strings.HasPrefix(path, strings.TrimSuffix(route.PathPrefix, "/")+"/")
		if matches && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// recordMeanings says what a change of a record of the kinds that
// serving.Config does not hold means.
var recordMeanings = map[records.Kind]string{
	records.KindDataCentre:  "the customers' rates are divided differently over VMs",
	records.KindAdapter:     "other versions of the adapter can be requested",
	records.KindEndpoint:    "other endpoints take the requests",
	records.KindWeightStore: "adapters load at another rate",
}

// diffRecords returns the changes between two sets of records. Records whose
// change serving.Config does not show are compared as a whole; routes, customers
// and keys that are added or removed are always shown by it.
func diffRecords(before, after *recordSet) []configcheck.Change {
	changes := configcheck.Diff(*before.document, *after.document)
	shown := make(map[string]bool)
	for _, change := range changes {
		key, _, _ := strings.Cut(change.Position.Path, " ")
		shown[key] = true
	}
	add := func(effect configcheck.Effect, record locatedRecord, what string) {
		meaning := cmp.Or(recordMeanings[record.record.Kind], "other fields differ, such as weights, methods or windows")
		changes = append(changes, configcheck.Change{Effect: effect, Position: record.position(""), What: record.key + " " + what, Callers: "callers that use it", Meaning: meaning})
	}
	old, next := specs(before.records), specs(after.records)
	for _, record := range after.records {
		spec, existed := old[record.key]
		switch {
		case !existed && recordMeanings[record.record.Kind] != "":
			add(configcheck.Gain, record, "is added")
		case existed && spec != next[record.key] && !shown[record.key]:
			add(configcheck.Neutral, record, "is changed")
		}
	}
	for _, record := range before.records {
		if _, remains := next[record.key]; !remains && recordMeanings[record.record.Kind] != "" {
			add(configcheck.Lose, record, "is removed")
		}
	}
	return changes
}

// specs returns the records by key, as JSON in the newest schema.
func specs(located []locatedRecord) map[string]string {
	result := make(map[string]string)
	for _, record := range located {
		decoded := record.record
		decoded.Schema = 0
		// Decoded records hold nothing that JSON cannot express.
		encoded, _ := json.Marshal(decoded)
		result[record.key] = string(encoded)
	}
	return result
}

// readLiveRecords reads the records in force from the configuration service.
func readLiveRecords(ctx context.Context, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platformapi.PathRecords, nil)
	if err != nil {
		return nil, err
	}
	response, err := newClient().Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the configuration service answered %s", response.Status)
	}
	var listing platformapi.Listing
	if err := json.NewDecoder(response.Body).Decode(&listing); err != nil {
		return nil, err
	}
	var values bytes.Buffer
	for _, item := range listing.Items {
		values.Write(item.Value)
		values.WriteByte('\n')
	}
	return values.Bytes(), nil
}
