package main

import (
	"fmt"
	"runtime"
)

const version = "0.1.0"

var versionCommand = command{
	name:    "version",
	help:    "Print the version.",
	grammar: func(out output) any { return &versionArguments{out: out} },
}

type versionArguments struct {
	out output
}

// Run prints the program's version and the toolchain that built it.
func (a *versionArguments) Run() error {
	_, err := fmt.Fprintf(a.out.results, "comfreystream %s (%s)\n", version, runtime.Version())
	return err
}
