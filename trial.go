package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/protocol/caller"
	"comfreystream/standin/fleet"
	"comfreystream/state"
	"comfreystream/transport"
)

const trialManifest = `{
  "format": 1,
  "weights": {"completionTime": 0.5, "fragmentation": 0.5},
  "organisations": [
    {
      "name": "harbour", "share": 1,
      "guarantees": [
        // four members of four accelerators each, on demand, in adjacent racks
        {"availabilityZone": "zone-a", "members": 4, "shape": {"slots": 1, "accelerators": 4}, "adjacency": "adjacentRacks"}
      ]
    },
    {"name": "mill", "share": 1},
  ],
}`

// trial runs the steps of the try verb against a fleet and prints the result of each.
type trial struct {
	out         io.Writer
	fleet       *fleet.Fleet
	connections *transport.Client
	client      *caller.Client
	began       time.Time
	steps       int
	failed      int
}

func newTrial(out io.Writer, f *fleet.Fleet) *trial {
	connections := transport.NewClient(transport.ClientLimits{})
	return &trial{
		out: out, fleet: f, connections: connections,
		client: &caller.Client{Connections: connections}, began: time.Now(),
	}
}

func (t *trial) close() { _ = t.connections.Close() }

// run runs the steps in order; it returns an error if a step could not be
// carried out, and counts those with an unexpected outcome in failed.
func (t *trial) run(ctx context.Context) error {
	t.printf("4 entries and 8 workers of 8 accelerators have started in 2 availability zones")
	if err := t.fleet.Ready(ctx, t.client, []byte(trialManifest)); err != nil {
		return errors.Wrap(err, "apply the manifest")
	}
	t.printf("the manifest is in force on every entry: harbour holds a guarantee of 4 members of 4 accelerators")
	for _, step := range []func(ctx context.Context) error{
		t.smallJobs, t.gang, t.impossible, t.sameKeyTwice, t.cancelled, t.reclaim,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	t.printf("%d of %d steps had the expected outcome", t.steps-t.failed, t.steps)
	return nil
}

// entry returns the address of the n-th entry, modulo their number; a caller may use any.
func (t *trial) entry(n int) netip.AddrPort {
	entries := t.fleet.Entries()
	return entries[n%len(entries)].Address()
}

func (t *trial) smallJobs(ctx context.Context) error {
	for n := range 4 {
		job := trialJob("mill", 1, 1)
		job.Payload = fmt.Appendf(nil, `{"run":"50ms","answer":"answer %d"}`, n)
		progress, err := t.client.Submit(ctx, t.entry(n), job)
		if err != nil {
			return err
		}
		matches := bytes.Equal(progress.Outcome.Answer, fmt.Appendf(nil, "answer %d", n))
		t.check(matches, "small job %d, sent to entry %s, %s and returned %q", n+1, t.entry(n), progress.Outcome.Ran, progress.Outcome.Answer)
	}
	return nil
}

func (t *trial) gang(ctx context.Context) error {
	job := trialJob("harbour", 4, 4)
	job.Adjacency = state.AdjacentRacks
	progress, err := t.client.Submit(ctx, t.entry(2), job)
	if err != nil {
		return err
	}
	t.check(progress.Outcome.Ran == state.RanToCompletion, "a gang of 4 members with 4 accelerators each on adjacent racks %s to completion", progress.Outcome.Ran)
	return nil
}

func (t *trial) impossible(ctx context.Context) error {
	job := trialJob("mill", 1, 64)
	progress, err := t.client.Submit(ctx, t.entry(1), job)
	if err != nil {
		return err
	}
	o := progress.Outcome
	t.check(o.Ran == state.NotRun && o.Reason == state.NeverFits, "a job of 64 accelerators on one worker was refused at once: %s, %s", o.Ran, o.Reason)
	return nil
}

func (t *trial) sameKeyTwice(ctx context.Context) error {
	job := trialJob("mill", 1, 1)
	job.Idempotent, job.Key = false, "order-17"
	first, err := t.client.Submit(ctx, t.entry(0), job)
	if err != nil {
		return err
	}
	second, err := t.client.Submit(ctx, t.entry(1), job)
	if err != nil {
		return err
	}
	ranOnce := first.Outcome.Ran == state.RanToCompletion && second.Outcome.Reason == state.DuplicateKey
	t.check(ranOnce, "order-17 %s; the same order at another entry was refused: %s, %s", first.Outcome.Ran, second.Outcome.Ran, second.Outcome.Reason)
	return nil
}

func (t *trial) cancelled(ctx context.Context) error {
	job := trialJob("mill", 1, 1)
	job.Payload = []byte(`{"run":"1h"}`)
	id, err := t.client.Accept(ctx, t.entry(0), job)
	if err != nil {
		return err
	}
	if err := t.client.Cancel(ctx, t.entry(3), id); err != nil {
		return err
	}
	o, err := t.outcome(ctx, id)
	t.check(o.Reason == state.Cancelled, "job %s with a run time of one hour was cancelled through another entry: %s", id, o.Ran)
	return err
}

// reclaim fills zone-a with a checkpointable job on lent capacity, and then
// submits a job that claims the guarantee.
func (t *trial) reclaim(ctx context.Context) error {
	filler := trialJob("mill", 16, 2)
	filler.ID = state.NewJobID("zone-a", "")
	filler.Checkpointable = true
	filler.Payload = []byte(`{"run":"2s"}`)
	id, err := t.client.Accept(ctx, t.entry(0), filler)
	if err != nil {
		return err
	}
	if err := t.untilRunning(ctx, 4); err != nil {
		return err
	}
	t.printf("mill's job %s borrows all accelerators of zone-a", id)
	urgent := trialJob("harbour", 4, 4)
	urgent.ID, urgent.Urgency, urgent.Adjacency = state.NewJobID("zone-a", ""), state.Urgent, state.AdjacentRacks
	submitted := time.Now()
	progress, err := t.client.Submit(ctx, t.entry(1), urgent)
	if err != nil {
		return err
	}
	t.check(progress.Outcome.Ran == state.RanToCompletion, "harbour's urgent gang reclaimed its guarantee and %s within %v of its submission", progress.Outcome.Ran, time.Since(submitted).Round(time.Millisecond))
	o, err := t.outcome(ctx, id)
	t.check(o.Ran == state.RanToCompletion && o.Attempt > 1, "mill's job was checkpointed, stopped and resumed: %s in attempt %d", o.Ran, o.Attempt)
	return err
}

// untilRunning waits until the given number of workers in zone-a run a task.
func (t *trial) untilRunning(ctx context.Context, wanted int) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		busy := 0
		for _, w := range t.fleet.Workers()[:4] {
			busy += min(len(w.Running()), 1)
		}
		if busy >= wanted {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the borrowed capacity to be in use")
		case <-ticker.C:
		}
	}
}

func (t *trial) outcome(ctx context.Context, id state.JobID) (state.Outcome, error) {
	for {
		progress, err := t.client.Await(ctx, t.entry(0), id, time.Second)
		if err != nil || progress.Done {
			return progress.Outcome, err
		}
	}
}

func (t *trial) check(passed bool, format string, arguments ...any) {
	t.steps++
	if passed {
		t.printf("ok: "+format, arguments...)
		return
	}
	t.failed++
	t.printf("WRONG: "+format, arguments...)
}

func (t *trial) printf(format string, arguments ...any) {
	elapsed := time.Since(t.began).Round(time.Millisecond)
	fmt.Fprintf(t.out, "%6s  %s\n", elapsed, fmt.Sprintf(format, arguments...))
}

// trialJob returns an idempotent job with the given number of accelerators for each member.
func trialJob(organisation string, members, accelerators int) *state.Job {
	return &state.Job{
		Organisation: organisation, Kind: "trial", Members: members,
		Shape:   state.Resources{Slots: 1, Accelerators: accelerators},
		Urgency: state.Normal, Idempotent: true, DeclaredRunTime: time.Second,
		Payload: []byte(`{"run":"50ms"}`),
	}
}
