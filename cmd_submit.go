package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/protocol/caller"
	"comfreystream/state"
)

var submitCommand = command{
	name:    "submit",
	help:    "Submit a job and print its answer, or its identity with --no-wait.",
	grammar: func(out output) any { return &submitArguments{out: out} },
}

type submitArguments struct {
	out              output
	Organisation     string        `arg:"" help:"Organisation that the job belongs to."`
	Kind             string        `help:"Kind of job; jobs of a kind resemble each other." placeholder:"NAME"`
	AvailabilityZone string        `help:"Zone to run in; any if empty." placeholder:"ZONE"`
	Members          int           `help:"Members of the gang." default:"1"`
	Slots            int           `help:"Slots for each member." default:"1"`
	Accelerators     int           `help:"Accelerators for each member." default:"0"`
	Cores            int           `help:"Cores for each member." default:"0"`
	MemoryBytes      int64         `help:"Memory for each member, in bytes." default:"0"`
	Adjacency        string        `help:"How close the members must run." enum:"anyRack,adjacentRacks,sameRack" default:"anyRack"`
	Urgency          string        `help:"How soon the job must start." enum:"overnight,normal,urgent" default:"normal"`
	AnswerWithin     time.Duration `help:"Time after which the answer is of no use; 0 is no limit." default:"0"`
	RunTime          time.Duration `help:"Declared run time." default:"0"`
	Key              string        `help:"Caller's key of a request that must run at most once; without it the job counts as idempotent." placeholder:"KEY"`
	Checkpointable   bool          `help:"The job can be saved and resumed."`
	Payload          string        `help:"What the workers are told to do." placeholder:"TEXT"`
	NoWait           bool          `help:"Have the job accepted for good and return at once."`
	entryFlags
}

// Run succeeds only if every member of the job ran to completion or, with
// --no-wait, if the job was accepted.
func (a *submitArguments) Run() error {
	job := a.job()
	return a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		if a.NoWait {
			return a.accept(ctx, client, entry, job)
		}
		progress, err := client.Submit(ctx, entry, job)
		if err != nil {
			return err
		}
		return printOutcome(a.out, progress)
	})
}

func (a *submitArguments) accept(ctx context.Context, client *caller.Client, entry netip.AddrPort, job *state.Job) error {
	id, err := client.Accept(ctx, entry, job)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out.results, id)
	return err
}

func (a *submitArguments) job() *state.Job {
	job := &state.Job{
		Organisation: a.Organisation, Kind: a.Kind, Members: a.Members,
		Shape: state.Resources{Slots: a.Slots, Accelerators: a.Accelerators, Cores: a.Cores, MemoryBytes: a.MemoryBytes},
		// Kong has checked both words against the flags' enums, so Index finds them.
		Adjacency:  state.Adjacency(slices.Index(state.AdjacencyNames, a.Adjacency)),
		Urgency:    state.Urgency(slices.Index(state.UrgencyNames, a.Urgency)),
		Idempotent: a.Key == "", Key: a.Key, Checkpointable: a.Checkpointable,
		DeclaredRunTime: a.RunTime, Payload: []byte(a.Payload),
	}
	if a.AvailabilityZone != "" {
		job.ID = state.NewJobID(a.AvailabilityZone, "")
	}
	if a.AnswerWithin > 0 {
		job.Deadline = time.Now().Add(a.AnswerWithin)
	}
	return job
}

// printOutcome prints the answer of a job that ran to completion, and returns
// an error for any other progress.
func printOutcome(out output, progress state.Progress) error {
	outcome := progress.Outcome
	switch {
	case !progress.Done:
		return errors.Errorf("job %s has not ended; ask again with: comfreystream status --job %s", outcome.Job, outcome.Job)
	case outcome.Holder != "":
		return errors.Errorf("job %s: %s: %s; the key belongs to job %s", outcome.Job, outcome.Ran, outcome.Reason, outcome.Holder)
	case outcome.Ran != state.RanToCompletion:
		return errors.Errorf("job %s: %s: %s", outcome.Job, outcome.Ran, outcome.Reason)
	}
	_, err := fmt.Fprintf(out.results, "%s\n", outcome.Answer)
	return err
}
