package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"comfreystream/protocol/manifest"
)

var checkCommand = command{
	name:    "check",
	help:    "Check a settings file or a manifest, and name the place and remedy of each problem.",
	grammar: func(out output) any { return &checkArguments{out: out} },
}

type checkArguments struct {
	out  output
	Kind string `help:"What the file is: settings or manifest." enum:"settings,manifest" default:"manifest"`
	File string `arg:"" help:"File to check." type:"path"`
}

// Run prints one line if the file is valid; otherwise its error sets the exit status to 2.
func (a *checkArguments) Run() error {
	if a.Kind == "settings" {
		if _, err := readSettings(a.File); err != nil {
			return err
		}
		return a.reportValid("settings")
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		return &usageError{errors.Wrap(err, "read manifest: name a readable file")}
	}
	if _, err := manifest.Decode(a.File, data); err != nil {
		return &usageError{err}
	}
	return a.reportValid("manifest")
}

func (a *checkArguments) reportValid(kind string) error {
	_, err := fmt.Fprintf(a.out.results, "%s: this is a well-formed %s file\n", a.File, kind)
	return err
}
