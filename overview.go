package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"comfreystream/instance"
)

// printOverview prints an entry's overview as tables.
func printOverview(out io.Writer, data []byte) error {
	o, err := instance.DecodeOverview(data)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry %s in %s, generation %d, store %s\n", o.Entry, o.AvailabilityZone, o.Generation, reachability(o.StoreReachable))
	if o.Draining {
		fmt.Fprintln(w, "the entry is draining")
	}
	if len(o.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated zones, in which nothing new starts: %s\n", strings.Join(o.Evacuated, ", "))
	}
	printEntries(w, o)
	printReasons(w, "REFUSED OR FAILED", o.Refusals)
	printReasons(w, "REPEATED", o.Retries)
	if o.Planner == nil {
		fmt.Fprintf(w, "\nqueues and guarantees are shown by the zone's planner: comfreystream status --entry %s\n", o.PlannerEntry)
		return w.Flush()
	}
	printPlanner(w, o.Planner)
	return w.Flush()
}

func reachability(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "not reachable"
}

func printEntries(w io.Writer, o *instance.Overview) {
	fmt.Fprintln(w, "\nENTRY\tZONE\tSTATUS\tAGE\tGENERATION")
	for _, e := range o.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", e.Address, e.AvailabilityZone, e.Status, e.Age, e.Generation)
	}
	fmt.Fprintln(w, "\nSTORE CALLS\tCOUNT")
	for _, c := range o.StoreCalls {
		fmt.Fprintf(w, "%s\t%d\n", c.Purpose, c.Calls)
	}
}

func printReasons(w io.Writer, title string, reasons []instance.ReasonOverview) {
	if len(reasons) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\tCOUNT\n", title)
	for _, r := range reasons {
		fmt.Fprintf(w, "%s\t%d\n", r.Reason, r.Count)
	}
}

func printPlanner(w io.Writer, p *instance.PlannerOverview) {
	fmt.Fprintf(w, "\nworkers: %d usable, %d leaving, %d quarantined; accelerators: %d of %d free, %d lent; fragmentation %.2f\n",
		p.Workers.Usable, p.Workers.Leaving, p.Workers.Quarantined,
		p.Free.Accelerators, p.Total.Accelerators, p.Lent.Accelerators, p.Fragmentation)
	for _, worker := range p.Quarantined {
		fmt.Fprintf(w, "quarantined: %s\n", worker)
	}
	for _, worker := range p.Leaving {
		fmt.Fprintf(w, "leaving: %s\n", worker)
	}
	fmt.Fprintln(w, "\nJOBS\tCOUNT")
	for _, j := range p.Jobs {
		fmt.Fprintf(w, "%s\t%d\n", j.Phase, j.Count)
	}
	fmt.Fprintln(w, "\nGUARANTEE OF\tMEMBERS\tHELD\tLENT\tIDLE\tMISSING\tBROKEN BY")
	for _, g := range p.Guarantees {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", g.Organisation, g.Members, g.Held, g.Lent, g.Idle, g.Missing, orDash(g.Broken))
	}
	fmt.Fprintln(w, "\nQUEUE OF\tQUEUED\tOLDEST\tWAITS\tBECAUSE")
	for _, q := range p.Queues {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", q.Organisation, q.Queued, orDash(string(q.Oldest)), orDash(q.OldestWait), orDash(q.Waiting))
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
