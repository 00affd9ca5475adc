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
	return group("records", "Check, publish and withdraw records",
		recordsCheckCommand(), recordsPublishCommand(), recordsWithdrawCommand())
}

// document is one record of a file.
type document struct {
	key   string
	value json.RawMessage
	// record is the decoded record in its newest form.
	record records.Record
}

// readRecords reads files of records. A file holds one record, several one
// after the other, or arrays of them.
func readRecords(paths []string) ([]document, error) {
	var documents []document
	var wrong []error
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, invalid(err)
		}
		found, err := parseRecords(data)
		documents = append(documents, found...)
		if err != nil {
			wrong = append(wrong, fmt.Errorf("%s: %w", path, err))
		}
	}
	if err := errors.Join(wrong...); err != nil {
		return nil, invalid(err)
	}
	return documents, nil
}

// parseRecords returns the records of one file and all that is wrong in it.
func parseRecords(data []byte) ([]document, error) {
	var documents []document
	var wrong []error
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var value json.RawMessage
		if err := decoder.Decode(&value); errors.Is(err, io.EOF) {
			return documents, errors.Join(wrong...)
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
			found, err := parseRecord(value)
			if err != nil {
				wrong = append(wrong, err)
				continue
			}
			documents = append(documents, found)
		}
	}
}

func parseRecord(value json.RawMessage) (document, error) {
	var outer struct {
		Kind records.Kind `json:"kind"`
		ID   string       `json:"id"`
	}
	if err := json.Unmarshal(value, &outer); err != nil {
		return document{}, err
	}
	key := string(outer.Kind) + "/" + outer.ID
	record, err := records.Decode(key, value)
	return document{key: key, value: value, record: record}, err
}

func recordsCheckCommand() *cobra.Command {
	complete := false
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check records before they are published",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			documents, err := readRecords(paths)
			if err != nil {
				return err
			}
			if complete {
				if err := errors.Join(danglingReferences(documents)...); err != nil {
					return invalid(err)
				}
			}
			for _, d := range documents {
				fmt.Fprintf(command.OutOrStdout(), "%s: valid, schema %d\n", d.key, d.record.Schema)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&complete, "complete", false, "the files hold all records: also check what they refer to")
	return command
}

// danglingReferences lists what the records name although no record describes
// it.
func danglingReferences(documents []document) []error {
	known := make(map[string]bool)
	for _, d := range documents {
		known[d.key] = true
		if endpoint := d.record.Endpoint; endpoint != nil {
			known["service "+endpoint.Service] = true
			known["base model "+endpoint.BaseModel] = true
		}
	}
	var wrong []error
	require := func(d document, field, what string) {
		if !known[what] {
			wrong = append(wrong, &records.FieldError{Record: d.key, Field: field, Problem: "no record describes " + what})
		}
	}
	for _, d := range documents {
		switch r := d.record; r.Kind {
		case records.KindKey:
			require(d, "spec.customer", string(records.KindCustomer)+"/"+string(r.Key.Customer))
		case records.KindCustomer:
			for _, id := range sortedKeys(r.Customer.DataCentreWeights) {
				require(d, "spec.dataCentreWeights", string(records.KindDataCentre)+"/"+string(id))
			}
		case records.KindEndpoint:
			require(d, "spec.dataCentre", string(records.KindDataCentre)+"/"+string(r.Endpoint.DataCentre))
		case records.KindAdapter:
			require(d, "spec.baseModel", "base model "+r.Adapter.BaseModel)
		case records.KindRoute:
			if r.Route.Kind == records.EndpointService {
				require(d, "spec.service", "service "+r.Route.Service)
			}
		}
	}
	return wrong
}

func sortedKeys(weights map[ids.DataCentreID]float64) []ids.DataCentreID {
	var list []ids.DataCentreID
	for id := range weights {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// operator is the operator side of a platform.
type operator struct {
	address string
	// ifMatch is the revision that a record must have; empty for any.
	ifMatch string
	client  *http.Client
}

func (o *operator) bind(command *cobra.Command) {
	o.client = newClient()
	command.Flags().StringVar(&o.address, "platform", "", "IP number and port of the configuration service's operator side")
	command.Flags().StringVar(&o.ifMatch, "if-match", "", "revision that the record must have; 0 for a new record")
}

// check refuses a command line without an address.
func (o *operator) check() error {
	if o.address == "" {
		return usage("the flag --platform is missing")
	}
	return nil
}

// change publishes a value under a key, or withdraws the key when the value
// is nil, and returns the revision of the change.
func (o *operator) change(ctx context.Context, key string, value []byte) (ids.Revision, error) {
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
	response, err := o.client.Do(request)
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
	var platform operator
	command := &cobra.Command{
		Use:   "publish FILE...",
		Short: "Publish records; nothing is published when one is wrong",
		Args:  cobra.MinimumNArgs(1),
	}
	platform.bind(command)
	command.RunE = func(command *cobra.Command, paths []string) error {
		if err := platform.check(); err != nil {
			return err
		}
		documents, err := readRecords(paths)
		if err != nil {
			return err
		}
		if platform.ifMatch != "" && len(documents) != 1 {
			return usage("--if-match wants one record, not %d", len(documents))
		}
		for _, d := range documents {
			revision, err := platform.change(command.Context(), d.key, d.value)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: published at revision %d\n", d.key, revision)
		}
		return nil
	}
	return command
}

func recordsWithdrawCommand() *cobra.Command {
	var platform operator
	command := &cobra.Command{
		Use:   "withdraw KIND/ID...",
		Short: "Withdraw records",
		Args:  cobra.MinimumNArgs(1),
	}
	platform.bind(command)
	command.RunE = func(command *cobra.Command, keys []string) error {
		if err := platform.check(); err != nil {
			return err
		}
		for _, key := range keys {
			if kind, id, found := strings.Cut(key, "/"); !found || kind == "" || id == "" {
				return usage("%q is not of the form kind/id", key)
			}
		}
		for _, key := range keys {
			revision, err := platform.change(command.Context(), key, nil)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: withdrawn at revision %d\n", key, revision)
		}
		return nil
	}
	return command
}
