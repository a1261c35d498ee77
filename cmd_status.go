package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"comfreystream/protocol/caller"
	"comfreystream/state"
)

var statusCommand = command{
	name:    "status",
	help:    "Show what an entry knows of its zone, or how far a job is.",
	grammar: func(out output) any { return &statusArguments{out: out} },
}

type statusArguments struct {
	out  output
	Job  string        `help:"Show this job in place of the entry." placeholder:"JOB"`
	Wait time.Duration `help:"How long to wait for the job's end." default:"0"`
	JSON bool          `help:"Print the entry's overview as JSON."`
	entryFlags
}

// Run prints a job's progress, or an entry's overview as tables or as JSON.
func (a *statusArguments) Run() error {
	return a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		if a.Job != "" {
			return a.showJob(ctx, client, entry)
		}
		overview, err := client.Overview(ctx, entry)
		if err != nil {
			return err
		}
		if a.JSON {
			_, err = fmt.Fprintf(a.out.results, "%s\n", overview)
			return err
		}
		return printOverview(a.out.results, overview)
	})
}

func (a *statusArguments) showJob(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
	progress, err := client.Await(ctx, entry, state.JobID(a.Job), a.Wait)
	if err != nil {
		return err
	}
	return printOutcome(a.out, progress)
}
