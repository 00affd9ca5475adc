package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

func recordsCommand() *cobra.Command {
	return commandGroup("records", "Check, publish and withdraw records",
		recordsCheckCommand(), recordsPublishCommand(), recordsWithdrawCommand())
}

// parsedRecord is one record read from a file.
type parsedRecord struct {
	key string
	raw json.RawMessage
	// record is the decoded record, converted to the newest schema.
	record records.Record
}

// readRecords reads and validates the records of all files. A file holds
// records one after the other, arrays of records, or both.
func readRecords(paths []string) ([]parsedRecord, error) {
	var parsedRecords []parsedRecord
	var problems []error
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, invalidInputError(err)
		}
		parsed, err := parseRecords(data)
		parsedRecords = append(parsedRecords, parsed...)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", path, err))
		}
	}
	if err := errors.Join(problems...); err != nil {
		return nil, invalidInputError(err)
	}
	return parsedRecords, nil
}

// parseRecords returns the valid records of one file and, joined into one
// error, the problems of all others. Malformed JSON ends the parsing.
func parseRecords(data []byte) ([]parsedRecord, error) {
	var parsedRecords []parsedRecord
	var problems []error
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var value json.RawMessage
		if err := decoder.Decode(&value); errors.Is(err, io.EOF) {
			return parsedRecords, errors.Join(problems...)
		} else if err != nil {
			return nil, err
		}
		values := []json.RawMessage{value}
		if value[0] == '[' {
			if err := json.Unmarshal(value, &values); err != nil {
				return nil, err
			}
		}
		for _, value := range values {
			parsed, err := parseRecord(value)
			if err != nil {
				problems = append(problems, err)
				continue
			}
			parsedRecords = append(parsedRecords, parsed)
		}
	}
}

func parseRecord(raw json.RawMessage) (parsedRecord, error) {
	var identity struct {
		Kind records.Kind `json:"kind"`
		ID   string       `json:"id"`
	}
	if err := json.Unmarshal(raw, &identity); err != nil {
		return parsedRecord{}, err
	}
	key := string(identity.Kind) + "/" + identity.ID
	record, err := records.Decode(key, raw)
	return parsedRecord{key: key, raw: raw, record: record}, err
}

func recordsCheckCommand() *cobra.Command {
	complete := false
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check records before they are published",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			parsedRecords, err := readRecords(paths)
			if err != nil {
				return err
			}
			if complete {
				if err := errors.Join(danglingReferences(parsedRecords)...); err != nil {
					return invalidInputError(err)
				}
			}
			for _, parsed := range parsedRecords {
				fmt.Fprintf(command.OutOrStdout(), "%s: valid, schema %d\n", parsed.key, parsed.record.Schema)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&complete, "complete", false, "treat the files as the complete set of records: also check that every referenced record exists")
	return command
}

// danglingReferences returns an error for each reference to a record, service
// or base model that none of the records describes.
func danglingReferences(parsedRecords []parsedRecord) []error {
	described := make(map[string]bool)
	for _, parsed := range parsedRecords {
		described[parsed.key] = true
		if endpoint := parsed.record.Endpoint; endpoint != nil {
			described["service "+endpoint.Service] = true
			described["base model "+endpoint.BaseModel] = true
		}
	}
	var problems []error
	require := func(parsed parsedRecord, field, reference string) {
		if !described[reference] {
			problems = append(problems, &records.FieldError{Record: parsed.key, Field: field, Problem: "no record describes " + reference})
		}
	}
	for _, parsed := range parsedRecords {
		switch r := parsed.record; r.Kind {
		case records.KindKey:
			require(parsed, "spec.customer", string(records.KindCustomer)+"/"+string(r.Key.Customer))
		case records.KindCustomer:
			for _, id := range sortedDataCentres(r.Customer.DataCentreWeights) {
				require(parsed, "spec.dataCentreWeights", string(records.KindDataCentre)+"/"+string(id))
			}
		case records.KindEndpoint:
			require(parsed, "spec.dataCentre", string(records.KindDataCentre)+"/"+string(r.Endpoint.DataCentre))
		case records.KindAdapter:
			require(parsed, "spec.baseModel", "base model "+r.Adapter.BaseModel)
		case records.KindRoute:
			if r.Route.Kind == records.EndpointService {
				require(parsed, "spec.service", "service "+r.Route.Service)
			}
		}
	}
	return problems
}

func sortedDataCentres(weights map[ids.DataCentreID]float64) []ids.DataCentreID {
	var dataCentres []ids.DataCentreID
	for id := range weights {
		dataCentres = append(dataCentres, id)
	}
	slices.Sort(dataCentres)
	return dataCentres
}

// operatorClient calls the platform's API for operators, which publishes and
// withdraws records.
type operatorClient struct {
	address string
	// ifMatch is the revision that the record must have now. Empty accepts any
	// revision.
	ifMatch    string
	httpClient *http.Client
}

// bindFlags adds the flags of the client to a command.
func (o *operatorClient) bindFlags(command *cobra.Command) {
	o.httpClient = newClient()
	command.Flags().StringVar(&o.address, "platform", "", "IP address and port of the configuration service's operator API")
	command.Flags().StringVar(&o.ifMatch, "if-match", "", "revision that the record must have now; 0 for a record that does not exist yet")
}

// requireAddress returns a usage error if the flag --platform is not set.
func (o *operatorClient) requireAddress() error {
	if o.address == "" {
		return usageError("the flag --platform is missing")
	}
	return nil
}

// changeRecord publishes a record under its key, or withdraws it if value is
// nil, and returns the revision of the change.
func (o *operatorClient) changeRecord(ctx context.Context, key string, value []byte) (ids.Revision, error) {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+platformapi.PathRecords+"/"+key, bytes.NewReader(value))
	if err != nil {
		return 0, err
	}
	if o.ifMatch != "" {
		request.Header.Set("If-Match", o.ifMatch)
	}
	response, err := o.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, records.MaxValueBytes))
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: the platform answered %s: %s", key, response.Status, strings.TrimSpace(string(body)))
	}
	var result struct {
		Revision ids.Revision `json:"revision"`
	}
	err = json.Unmarshal(body, &result)
	return result.Revision, err
}

func recordsPublishCommand() *cobra.Command {
	var client operatorClient
	command := &cobra.Command{
		Use:   "publish FILE...",
		Short: "Publish records; if one is invalid, none is published",
		Args:  cobra.MinimumNArgs(1),
	}
	client.bindFlags(command)
	command.RunE = func(command *cobra.Command, paths []string) error {
		if err := client.requireAddress(); err != nil {
			return err
		}
		parsedRecords, err := readRecords(paths)
		if err != nil {
			return err
		}
		if client.ifMatch != "" && len(parsedRecords) != 1 {
			return usageError("--if-match requires exactly one record, got %d", len(parsedRecords))
		}
		for _, parsed := range parsedRecords {
			revision, err := client.changeRecord(command.Context(), parsed.key, parsed.raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: published at revision %d\n", parsed.key, revision)
		}
		return nil
	}
	return command
}

func recordsWithdrawCommand() *cobra.Command {
	var client operatorClient
	command := &cobra.Command{
		Use:   "withdraw KIND/ID...",
		Short: "Withdraw records",
		Args:  cobra.MinimumNArgs(1),
	}
	client.bindFlags(command)
	command.RunE = func(command *cobra.Command, keys []string) error {
		if err := client.requireAddress(); err != nil {
			return err
		}
		for _, key := range keys {
			if kind, id, found := strings.Cut(key, "/"); !found || kind == "" || id == "" {
				return usageError("%q is not of the form kind/id", key)
			}
		}
		for _, key := range keys {
			revision, err := client.changeRecord(command.Context(), key, nil)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: withdrawn at revision %d\n", key, revision)
		}
		return nil
	}
	return command
}
