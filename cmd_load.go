package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/protocol/caller"
	"comfreystream/standin/fleet"
	"comfreystream/state"
	"comfreystream/transport"
	"comfreystream/workload"
)

// embeddedStartTimeout is the time for the embedded entries to become ready.
const embeddedStartTimeout = 30 * time.Second

var loadCommand = command{
	name:    "load",
	help:    "Send a seeded list of jobs at set times to entries, check the answers and measure.",
	grammar: func(out output) any { return &loadArguments{out: out} },
}

type loadArguments struct {
	out               output
	Entry             []string      `help:"Entries to send to, in turn; without any, an embedded set is started." placeholder:"ADDRESS"`
	BeyondLoopback    bool          `help:"Allow entries on other machines."`
	Seed              uint64        `help:"Seed of the list; the same seed sends the same jobs at the same times." default:"1"`
	Requests          int           `help:"Requests to send." default:"200"`
	Rate              float64       `help:"Mean number of requests due in a second." default:"20"`
	RunFor            time.Duration `help:"Time after which the run ends, answered or not." default:"1m"`
	Mix               string        `help:"Share of each class of requests." default:"small=12,large=2,urgent=3,neverRuns=1,nonIdempotent=3,cancelWave=1"`
	Organisation      []string      `help:"Organisations that own the jobs." default:"harbour,mill"`
	RunTime           time.Duration `help:"Mean run time of a small job; a gang's is four times as long." default:"200ms"`
	LargeMembers      int           `help:"Members of a gang." default:"4"`
	LargeAccelerators int           `help:"Accelerators for each member of a gang." default:"4"`
	WaveJobs          int           `help:"Jobs that a wave submits and cancels." default:"20"`
	InFlight          int           `help:"Most requests that wait for an answer at once." default:"2048"`
	Retries           int           `help:"Most times that a request that did not run is sent again." default:"3"`
	SampleEvery       time.Duration `help:"Time between two samples of the fragmentation." default:"500ms"`
	Name              string        `help:"Part of each key and answer; the time of the start if empty." placeholder:"NAME"`
	JSON              string        `help:"Write the report to this file as JSON." placeholder:"FILE" type:"path"`
	Picture           string        `help:"Draw completion time and fragmentation into this file, .png or .svg." placeholder:"FILE" type:"path"`
}

// Run returns an error, for exit status 1, if an answer was wrong; refused or
// slow requests are only reported.
func (a *loadArguments) Run() (err error) {
	plan, err := a.plan()
	if err != nil {
		return &usageError{err}
	}
	entries, err := a.entries()
	if err != nil {
		return &usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	client := &caller.Client{Connections: connections}
	if len(entries) == 0 {
		f, err := a.startEmbedded(ctx, client)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		for _, e := range f.Entries() {
			entries = append(entries, e.Address())
		}
	}
	runner := workload.New(plan, client, entries)
	runner.Progress = a.progress
	return a.publish(runner.Run(ctx))
}

func (a *loadArguments) plan() (workload.Plan, error) {
	mix, err := workload.ParseMix(a.Mix)
	if err != nil {
		return workload.Plan{}, errors.Wrap(err, "--mix")
	}
	name := a.Name
	if name == "" {
		name = time.Now().UTC().Format("20060102T150405.000000000")
	}
	plan := workload.Plan{
		Seed: a.Seed, Name: name, Requests: a.Requests, Rate: a.Rate, RunFor: a.RunFor, Mix: mix,
		Organisations: a.Organisation, RunTime: a.RunTime,
		LargeMembers: a.LargeMembers, LargeAccelerators: a.LargeAccelerators, WaveJobs: a.WaveJobs,
		InFlight: a.InFlight, Retries: a.Retries, SampleEvery: a.SampleEvery,
	}
	if format := a.format(); a.Picture != "" && format != "png" && format != "svg" {
		return plan, errors.Errorf("--picture: %s must end in .png or .svg", a.Picture)
	}
	return plan, plan.Check()
}

func (a *loadArguments) format() string {
	return strings.TrimPrefix(filepath.Ext(a.Picture), ".")
}

func (a *loadArguments) entries() (entries []netip.AddrPort, err error) {
	for _, text := range a.Entry {
		entry, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Errorf("--entry: %q is not an address; write an IP address and a port, such as 127.0.0.1:7070", text)
		}
		if !entry.Addr().IsLoopback() && !a.BeyondLoopback {
			return nil, errors.Errorf("--entry: %s is not a loopback address; add --beyond-loopback to send load to other machines", entry)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// startEmbedded starts entries and stand-in workers in this process.
func (a *loadArguments) startEmbedded(ctx context.Context, client *caller.Client) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Plan{
		AvailabilityZones: []string{"zone-a", "zone-b"}, EntriesPerZone: 2,
		WorkersPerZone: 8, WorkersPerRack: 2,
		Capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 << 30},
		Log:      a.out.diagnostics, LogLevel: zerolog.ErrorLevel,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, embeddedStartTimeout)
	defer cancel()
	if err := f.Ready(ctx, client, []byte(trialManifest)); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "start the embedded entries and workers")
	}
	return f, nil
}

func (a *loadArguments) progress(c workload.Counts) {
	fmt.Fprintf(a.out.diagnostics, "due %d of %d, served %d, refused %d, retried %d, wrong %d\n",
		c.Due, a.Requests, c.Answered, c.Refused, c.Retried, c.Wrong)
}

// publish writes the report in each requested format.
func (a *loadArguments) publish(report *workload.Report) error {
	if err := report.WriteText(a.out.results); err != nil {
		return err
	}
	if err := writeFile(a.JSON, func(w io.Writer) error {
		data, err := report.JSON()
		if err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}); err != nil {
		return err
	}
	if err := writeFile(a.Picture, func(w io.Writer) error { return report.WritePicture(w, a.format()) }); err != nil {
		return err
	}
	if report.Wrong > 0 {
		return errors.Errorf("%d answers or runs were wrong", report.Wrong)
	}
	return nil
}

// writeFile creates the file and calls write with it; it does nothing if the name is empty.
func writeFile(name string, write func(w io.Writer) error) (err error) {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return write(file)
}
