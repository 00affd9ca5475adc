package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability/burn"
)

// maxConcurrentScrapes bounds the VMs that the burn command scrapes in
// parallel.
const maxConcurrentScrapes = 16

// burnReport is the JSON output of the burn command.
type burnReport struct {
	burn.Report
	// Unreachable lists the admin addresses of the VMs that did not answer and
	// are missing from the report.
	Unreachable []string `json:"unreachable"`
}

func burnCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "burn ADDR...",
		Short: "Report the service-level burn rate of the VMs at these admin addresses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error {
			vms, failures := scrapeAll(command.Context(), newClient(), addresses)
			report := burnReport{Report: burn.Compute(vms), Unreachable: []string{}}
			for i, err := range failures {
				if err != nil {
					report.Unreachable = append(report.Unreachable, addresses[i])
					fmt.Fprintln(command.ErrOrStderr(), "wagtailctl: VM missing from the report:", err)
				}
			}
			if len(vms) == 0 {
				return &exitError{code: ExitUnreachable, err: errors.New("no VM answered")}
			}
			if asJSON {
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(report)
			}
			return report.WriteText(command.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return command
}

// scrapeAll reads the service-level windows of all VMs and returns those of
// the VMs that answered. Error i belongs to address i and is nil if that VM
// answered.
func scrapeAll(ctx context.Context, client *http.Client, addresses []string) ([]burn.VM, []error) {
	failures := make([]error, len(addresses))
	results := make([]burn.VM, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentScrapes)
	var scrapes sync.WaitGroup
	for i, address := range addresses {
		scrapes.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i], failures[i] = observability.ScrapeWindows(ctx, client, address)
		})
	}
	scrapes.Wait()
	var vms []burn.VM
	for i, vm := range results {
		if failures[i] == nil {
			vms = append(vms, vm)
		}
	}
	return vms, failures
}
