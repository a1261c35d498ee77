package main

import (
	"context"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"comfreystream/coordination/configcheck"
	"comfreystream/platform"
	"comfreystream/protocol/caller"
	"comfreystream/protocol/document"
	"comfreystream/protocol/manifest"
	"comfreystream/settings"
	"comfreystream/state/workflow"
)

var checkCommand = command{
	name:    "check",
	help:    "Check a settings file, a manifest or the platform's configuration, and name the place and remedy of each problem.",
	grammar: func(out output) any { return &checkArguments{out: out} },
}

// The kinds of files that are checked.
const (
	settingsKind = "settings"
	manifestKind = "manifest"
	platformKind = "platform"
)

type checkArguments struct {
	out     output
	Kind    string `help:"What the file is: settings, manifest or platform (the operator's configuration on the hosting platform)." enum:"settings,manifest,platform" default:"manifest"`
	File    string `arg:"" help:"File to check." type:"path"`
	Workers string `help:"Compare with the workers in this file." placeholder:"FILE" type:"path"`
	Against string `help:"List what differs from this file, as the version in force." placeholder:"FILE" type:"path" xor:"against"`
	InForce bool   `help:"List what differs from the manifest in force, which --entry is asked for." xor:"against"`
	JSON    bool   `help:"Print the result as JSON."`
	entryFlags
}

// Run prints what it finds. Its error sets the exit status to 1 if some finding is an error,
// and to 2 if the file could not be checked.
func (a *checkArguments) Run() error {
	if problem := a.excessFlag(); problem != "" {
		return &usageError{errors.New(problem)}
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		return &usageError{errors.Wrap(err, "read the file to check: name a readable file")}
	}
	report := &checkReport{File: a.File, Kind: a.Kind}
	switch a.Kind {
	case settingsKind:
		_, err = settings.Decode(a.File, data)
	case platformKind:
		err = a.checkPlatform(report, data)
	default:
		err = a.checkManifest(report, data)
	}
	var invalid *document.Error
	if errors.As(err, &invalid) {
		report.addProblems(configcheck.Error, invalid.Problems...)
		err = nil
	}
	if err != nil {
		return &usageError{err}
	}
	return report.print(a.out.results, a.JSON)
}

// excessFlag names a flag that the kind of file has no use for.
func (a *checkArguments) excessFlag() string {
	switch {
	case a.InForce && a.Kind != manifestKind:
		return "--in-force is for manifests; use --against with a file"
	case a.Kind == settingsKind && (a.Workers != "" || a.Against != ""):
		return "--workers and --against are not for settings; remove them"
	}
	return ""
}

func (a *checkArguments) checkManifest(report *checkReport, data []byte) error {
	m, d, err := manifest.DecodeInOrder(a.File, data)
	if err != nil {
		return err
	}
	var racks []configcheck.Rack
	if a.Workers != "" {
		text, err := os.ReadFile(a.Workers)
		if err != nil {
			return errors.Wrap(err, "read the workers")
		}
		if racks, err = manifest.DecodeWorkers(a.Workers, text); err != nil {
			return notChecked("the workers", err)
		}
	}
	report.addFindings(d, configcheck.CheckManifest(m, racks))
	if a.Against == "" && !a.InForce {
		return nil
	}
	name, before, err := a.readInForce()
	if err != nil {
		return err
	}
	inForce, err := manifest.Decode(name, before)
	if err != nil {
		return notChecked("the manifest in force", err)
	}
	differences, findings := configcheck.CompareManifests(inForce, m)
	report.addFindings(d, findings)
	report.addDifferences(differences)
	return nil
}

func (a *checkArguments) checkPlatform(report *checkReport, data []byte) error {
	report.rename = platform.PolicyField
	p, d, err := platform.DecodePolicyFile(a.File, data)
	if err != nil {
		return err
	}
	var workers []workflow.Worker
	if a.Workers != "" {
		text, err := os.ReadFile(a.Workers)
		if err != nil {
			return errors.Wrap(err, "read the workers")
		}
		if workers, err = platform.DecodeRegistryFile(text); err != nil {
			return notChecked(a.Workers, err)
		}
	}
	report.addFindings(d, configcheck.CheckPolicy(p, platform.PolicyLimits(), workers))
	if a.Against == "" && !a.InForce {
		return nil
	}
	name, before, err := a.readInForce()
	if err != nil {
		return err
	}
	inForce, _, err := platform.DecodePolicyFile(name, before)
	if err != nil {
		return notChecked("the configuration in force", err)
	}
	differences, findings := configcheck.ComparePolicies(inForce, p)
	report.addFindings(d, findings)
	report.addDifferences(differences)
	return nil
}

// readInForce returns what --against or --in-force names, and a name for it in messages.
func (a *checkArguments) readInForce() (name string, data []byte, err error) {
	if a.Against != "" {
		data, err = os.ReadFile(a.Against)
		return a.Against, data, errors.Wrap(err, "read the file in force")
	}
	err = a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		data, err = client.Manifest(ctx, entry)
		return err
	})
	return "the manifest in force", data, errors.Wrap(err, "read the manifest in force")
}

// notChecked is the error for another file than the checked one. It hides a *document.Error,
// whose problems are the checked file's.
func notChecked(what string, err error) error {
	return errors.Errorf("read %s: %s", what, err)
}
