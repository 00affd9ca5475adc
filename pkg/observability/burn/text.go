package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a table.
func (r Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "Service-level burn of %d VMs. A burn rate of 1 uses up the error budget in the period of the objective.\n\n", r.VMs)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OBJECTIVE\tTARGET\tWINDOW\tCOVERED\tEVENTS\tBAD\tBURN RATE\tALERT")
	for _, objective := range r.Objectives {
		for i, window := range objective.Windows {
			alert := ""
			if i == 0 {
				alert = string(objective.Alert)
			}
			fmt.Fprintf(table, "%s\t%g\t%s\t%s\t%d\t%d\t%.2f\t%s\n",
				objective.Objective, objective.Target,
				formatWindow(time.Duration(window.WindowSeconds)*time.Second),
				time.Duration(window.CoveredSeconds*float64(time.Second)).Round(time.Second),
				window.Events, window.Bad, window.BurnRate, alert)
		}
	}
	return table.Flush()
}

// formatWindow formats the length of a window in whole hours or minutes, such
// as 6h or 5m.
func formatWindow(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
