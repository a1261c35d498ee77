package main

import (
	"context"
	"fmt"
	"net/netip"

	"comfreystream/protocol/caller"
)

var drainCommand = command{
	name:    "drain",
	help:    "Take an entry out of use: it hands over its roles, finishes what is in flight and ends.",
	grammar: func(out output) any { return &drainArguments{out: out} },
}

type drainArguments struct {
	out output
	entryFlags
}

// Run returns once the entry has started to drain.
func (a *drainArguments) Run() error {
	return a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		if err := client.Drain(ctx, entry); err != nil {
			return err
		}
		_, err := fmt.Fprintf(a.out.results, "entry %s is draining\n", entry)
		return err
	})
}
