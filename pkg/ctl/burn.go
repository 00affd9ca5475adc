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

// maxScrapes is the number of VMs that are read at once.
const maxScrapes = 16

// burnReport is the JSON form of the burn command.
type burnReport struct {
	burn.Report
	// Unreachable lists the VMs that the report lacks.
	Unreachable []string `json:"unreachable"`
}

func burnCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "burn ADDR...",
		Short: "Report the service-level burn of the VMs with these admin addresses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error {
			vms, failures := scrapeAll(command.Context(), newClient(), addresses)
			report := burnReport{Report: burn.Compute(vms), Unreachable: []string{}}
			for i, err := range failures {
				if err != nil {
					report.Unreachable = append(report.Unreachable, addresses[i])
					fmt.Fprintln(command.ErrOrStderr(), "wagtailctl: not in the report:", err)
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
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// scrapeAll reads the windows of the VMs that answer. Entry i of the errors
// belongs to address i.
func scrapeAll(ctx context.Context, client *http.Client, addresses []string) ([]burn.VM, []error) {
	failures := make([]error, len(addresses))
	results := make([]burn.VM, len(addresses))
	places := make(chan struct{}, maxScrapes)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			results[i], failures[i] = observability.ScrapeWindows(ctx, client, address)
		})
	}
	group.Wait()
	var vms []burn.VM
	for i, vm := range results {
		if failures[i] == nil {
			vms = append(vms, vm)
		}
	}
	return vms, failures
}
