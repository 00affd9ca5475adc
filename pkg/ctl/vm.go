package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// maxStatusBytes bounds the body that is read from a response of the admin
// port.
const maxStatusBytes = 16 << 20

// drainPollInterval is the interval at which the drain command polls the status
// of the VM.
const drainPollInterval = 200 * time.Millisecond

// callAdmin sends a request to the admin port of a VM and decodes the JSON
// response into result.
func callAdmin(ctx context.Context, client *http.Client, method, address, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered %s to %s %s", address, response.Status, method, path)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(result)
}

func statusCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "status ADDR",
		Short: "Show the status of the VM at this admin address",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			var status admin.Status
			if err := callAdmin(command.Context(), newClient(), http.MethodGet, arguments[0], admin.PathStatus, &status); err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(status)
			}
			return writeStatus(command.OutOrStdout(), status)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the status as JSON")
	return command
}

// writeStatus writes a status as text with tables.
func writeStatus(out io.Writer, status admin.Status) error {
	fmt.Fprintf(out, "VM %s (boot %s) in data centre %s, region %s, version %s, up %s\n",
		status.VM, status.Boot, status.DataCentre, status.Region, status.Version, formatMillis(status.UptimeMillis))
	fmt.Fprintf(out, "ready: %t %s\n", status.Ready, status.NotReadyReason)
	fmt.Fprintf(out, "drain: %s\n", status.Drain.State)
	for _, condition := range status.Drain.WaitingFor {
		fmt.Fprintf(out, "  waiting for %s\n", condition)
	}
	fmt.Fprintf(out, "records: revision %d, confirmed %s ago, %d records, watching %t\n",
		status.Catalog.Revision, formatMillis(status.Catalog.AgeMillis), status.Catalog.Records, status.Catalog.Watching)
	for _, refused := range status.Catalog.RefusedRecords {
		fmt.Fprintf(out, "  refused %s\n", refused)
	}
	fmt.Fprintf(out, "VM list: revision %d, confirmed %s ago, %d VMs\n", status.VMList.Revision, formatMillis(status.VMList.AgeMillis), status.VMList.VMs)
	fmt.Fprintf(out, "requests: %d queued, %d at endpoints\n", status.Requests.Queued, status.Requests.InFlight)
	for _, q := range status.Queues {
		fmt.Fprintf(out, "  %d wait for %s\n", q.Length, q.Model)
	}
	fmt.Fprintln(out)

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tLEVEL\tCAP\tRATE\tWAITING FOR")
	for _, c := range status.Customers {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.1f\t%s\n", c.Customer, c.Level, c.Cap, c.Rate, strings.Join(c.WaitingFor, " "))
	}
	fmt.Fprintln(table, "\nENDPOINT\tDATA CENTRE\tSTATE\tREACHABLE\tOWNER\tMAY ORDER\tRUNNING\tWAITING\tRESIDENT\tPINS")
	for _, e := range status.Endpoints {
		mayOrder := fmt.Sprint(e.MayIssueOrders)
		if e.Owned && !e.MayIssueOrders {
			mayOrder += ": " + e.NoOrdersReason
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%s\t%d\t%d\t%d\t%d\n",
			e.Endpoint, e.DataCentre, e.State, e.Reachable, e.Owner, mayOrder, e.Running, e.Waiting, len(e.Resident), len(e.Pins))
	}
	fmt.Fprintln(table, "\nPEER\tDATA CENTRE\tREACHABLE\tREVISION\tHEARD")
	for _, p := range status.Peers {
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\n", p.VM, p.DataCentre, p.Reachable, p.Revision, formatMillis(p.AgeMillis))
	}
	return table.Flush()
}

// formatMillis formats an age in milliseconds. A negative age means never.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func drainCommand() *cobra.Command {
	var wait time.Duration
	command := &cobra.Command{
		Use:   "drain ADDR",
		Short: "Drain the VM at this admin address: it refuses new requests and finishes open ones",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return drain(command.Context(), command.OutOrStdout(), newClient(), arguments[0], wait)
		},
	}
	command.Flags().DurationVar(&wait, "wait", time.Minute, "maximum time to wait for the drain to finish; 0 returns at once")
	return command
}

// drain starts a drain, prints each change of its state, and returns when it
// has finished. It returns an error if it is not finished after wait; with a
// wait of 0 it does not wait.
func drain(ctx context.Context, out io.Writer, client *http.Client, address string, wait time.Duration) error {
	var drainStatus admin.Drain
	if err := callAdmin(ctx, client, http.MethodPost, address, admin.PathDrain, &drainStatus); err != nil {
		return err
	}
	lastLine := ""
	for deadline := time.Now().Add(wait); ; {
		if line := formatDrain(drainStatus); line != lastLine {
			fmt.Fprintln(out, line)
			lastLine = line
		}
		if drainStatus.State == admin.DrainFinished || wait == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is still draining after %s, waiting for: %s", address, wait, strings.Join(drainStatus.WaitingFor, "; "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
		var status admin.Status
		if err := callAdmin(ctx, client, http.MethodGet, address, admin.PathStatus, &status); err != nil {
			// The daemon exits after it has drained, so an unreachable admin
			// port means that the drain is complete.
			if exitCode(err) != ExitUnreachable {
				return err
			}
			fmt.Fprintln(out, "the daemon has exited")
			return nil
		}
		drainStatus = status.Drain
	}
}

func formatDrain(drainStatus admin.Drain) string {
	line := "drain: " + string(drainStatus.State)
	if len(drainStatus.WaitingFor) > 0 {
		line += ", waiting for " + strings.Join(drainStatus.WaitingFor, "; ")
	}
	return line
}
