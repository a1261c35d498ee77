package main

import (
	"context"
	"fmt"
	"net/netip"

	"comfreystream/protocol/caller"
	"comfreystream/state"
)

var cancelCommand = command{
	name:    "cancel",
	help:    "Cancel a job, through any entry.",
	grammar: func(out output) any { return &cancelArguments{out: out} },
}

type cancelArguments struct {
	out output
	Job string `arg:"" help:"Identity of the job, as submit printed it."`
	entryFlags
}

// Run returns once the zone's planner has accepted the cancellation.
func (a *cancelArguments) Run() error {
	return a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		if err := client.Cancel(ctx, entry, state.JobID(a.Job)); err != nil {
			return err
		}
		_, err := fmt.Fprintf(a.out.results, "job %s is being cancelled\n", a.Job)
		return err
	})
}
