package workload

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as tables for human readers.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d: %d requests, %.4g a second, took %v", r.Plan.Seed, r.Plan.Requests, r.Plan.Rate, r.Took.Round(time.Millisecond))
	fmt.Fprintf(w, "; %d not sent, %d wrong\n", r.NotSent, r.Wrong)
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "WRONG: %s\n", violation)
	}
	fmt.Fprintln(w, "\nCLASS\tSENT\tSERVED\tUNFINISHED\tP50\tP90\tP99\tMAX\tDELAY P50\tDELAY P99\tLATE P99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", c.Class, c.Sent, c.Served, c.Unfinished,
			roundForDisplay(c.Times.P50), roundForDisplay(c.Times.P90), roundForDisplay(c.Times.P99), roundForDisplay(c.Times.Max),
			roundForDisplay(c.Delays.P50), roundForDisplay(c.Delays.P99), roundForDisplay(c.Lateness.P99))
	}
	r.writeReasons(w)
	r.writeSamples(w)
	return w.Flush()
}

func (r *Report) writeReasons(w io.Writer) {
	fmt.Fprintln(w, "\nCLASS\tWHAT\tREASON\tCOUNT")
	for _, c := range r.Classes {
		lists := []struct {
			what   string
			counts []ReasonCount
		}{{"refused", c.Refusals}, {"retried", c.Retries}, {"unknown", c.Unknown}}
		for _, l := range lists {
			for _, n := range l.counts {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.Class, l.what, n.Reason, n.Count)
			}
		}
	}
}

// writeSamples writes the mean and the highest fragmentation of each zone.
func (r *Report) writeSamples(w io.Writer) {
	fmt.Fprintln(w, "\nZONE\tSAMPLES\tFRAGMENTATION MEAN\tHIGHEST")
	for _, zone := range r.zones() {
		count, sum, highest := 0, 0.0, 0.0
		for _, s := range r.Samples {
			if s.AvailabilityZone != zone {
				continue
			}
			count++
			sum += s.Fragmentation
			highest = max(highest, s.Fragmentation)
		}
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\n", zone, count, sum/float64(count), highest)
	}
}

// zones returns the zones that have samples, in the order of their first sample.
func (r *Report) zones() (names []string) {
	seen := make(map[string]bool)
	for _, s := range r.Samples {
		if !seen[s.AvailabilityZone] {
			seen[s.AvailabilityZone] = true
			names = append(names, s.AvailabilityZone)
		}
	}
	return names
}

// roundForDisplay rounds to 10 µs below one second and to 1 ms from there on.
func roundForDisplay(d time.Duration) time.Duration {
	if d < time.Second {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
