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

// maxStatusBytes bounds a status answer.
const maxStatusBytes = 16 << 20

// drainPoll is how often a drain looks whether it is done.
const drainPoll = 200 * time.Millisecond

// callAdmin calls the admin port of a VM and decodes the answer.
func callAdmin(ctx context.Context, client *http.Client, method, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered %s to %s %s", address, response.Status, method, path)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(into)
}

func statusCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "status ADDR",
		Short: "Show the status of the VM with this admin address",
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
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// writeStatus writes a status as tables.
func writeStatus(out io.Writer, s admin.Status) error {
	fmt.Fprintf(out, "VM %s (boot %s) in data centre %s, region %s, version %s, up %s\n",
		s.VM, s.Boot, s.DataCentre, s.Region, s.Version, millis(s.UptimeMillis))
	fmt.Fprintf(out, "ready: %t %s\n", s.Ready, s.NotReadyReason)
	fmt.Fprintf(out, "drain: %s\n", s.Drain.State)
	for _, what := range s.Drain.WaitingFor {
		fmt.Fprintf(out, "  waiting for %s\n", what)
	}
	fmt.Fprintf(out, "records: revision %d, confirmed %s ago, %d records, watching %t\n",
		s.Catalog.Revision, millis(s.Catalog.AgeMillis), s.Catalog.Records, s.Catalog.Watching)
	for _, refused := range s.Catalog.RefusedRecords {
		fmt.Fprintf(out, "  refused %s\n", refused)
	}
	fmt.Fprintf(out, "VM list: revision %d, confirmed %s ago, %d VMs\n", s.VMList.Revision, millis(s.VMList.AgeMillis), s.VMList.VMs)
	fmt.Fprintf(out, "requests: %d queued, %d at endpoints\n", s.Requests.Queued, s.Requests.InFlight)
	for _, q := range s.Queues {
		fmt.Fprintf(out, "  %d wait for %s\n", q.Length, q.Model)
	}
	fmt.Fprintln(out)

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tLEVEL\tCAP\tRATE\tWAITING FOR")
	for _, c := range s.Customers {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.1f\t%s\n", c.Customer, c.Level, c.Cap, c.Rate, strings.Join(c.WaitingFor, " "))
	}
	fmt.Fprintln(table, "\nENDPOINT\tDATA CENTRE\tSTATE\tREACHABLE\tOWNER\tMAY ORDER\tRUNNING\tWAITING\tRESIDENT\tPINS")
	for _, e := range s.Endpoints {
		order := fmt.Sprint(e.MayIssueOrders)
		if e.Owned && !e.MayIssueOrders {
			order += ": " + e.NoOrdersReason
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%s\t%d\t%d\t%d\t%d\n",
			e.Endpoint, e.DataCentre, e.State, e.Reachable, e.Owner, order, e.Running, e.Waiting, len(e.Resident), len(e.Pins))
	}
	fmt.Fprintln(table, "\nPEER\tDATA CENTRE\tREACHABLE\tREVISION\tHEARD")
	for _, p := range s.Peers {
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\n", p.VM, p.DataCentre, p.Reachable, p.Revision, millis(p.AgeMillis))
	}
	return table.Flush()
}

// millis writes an age; -1 stands for never.
func millis(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func drainCommand() *cobra.Command {
	var wait time.Duration
	command := &cobra.Command{
		Use:   "drain ADDR",
		Short: "Drain the VM with this admin address: no new work, open requests finish",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return drain(command.Context(), command.OutOrStdout(), newClient(), arguments[0], wait)
		},
	}
	command.Flags().DurationVar(&wait, "wait", time.Minute, "longest wait for the end of the drain; 0 does not wait")
	return command
}

// drain starts a drain and waits for its end.
func drain(ctx context.Context, out io.Writer, client *http.Client, address string, wait time.Duration) error {
	var state admin.Drain
	if err := callAdmin(ctx, client, http.MethodPost, address, admin.PathDrain, &state); err != nil {
		return err
	}
	last := ""
	for deadline := time.Now().Add(wait); ; {
		if line := drainLine(state); line != last {
			fmt.Fprintln(out, line)
			last = line
		}
		if state.State == admin.DrainFinished || wait == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is still draining after %s, waiting for: %s", address, wait, strings.Join(state.WaitingFor, "; "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
		var status admin.Status
		if err := callAdmin(ctx, client, http.MethodGet, address, admin.PathStatus, &status); err != nil {
			// A daemon ends by itself after its drain.
			if exitCode(err) != ExitUnreachable {
				return err
			}
			fmt.Fprintln(out, "the daemon has ended")
			return nil
		}
		state = status.Drain
	}
}

func drainLine(state admin.Drain) string {
	line := "drain: " + string(state.State)
	if len(state.WaitingFor) > 0 {
		line += ", waiting for " + strings.Join(state.WaitingFor, "; ")
	}
	return line
}
