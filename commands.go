package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// command is one verb: its name, its one-line help and the kong grammar that runs it.
type command struct {
	name    string
	help    string
	grammar func(out output) any
}

// output holds the writers for a command's results (standard output) and its
// diagnostics (standard error).
type output struct {
	results     io.Writer
	diagnostics io.Writer
}

// commands lists the verbs in the order of --help.
var commands = []command{
	serveCommand,
	hostCommand,
	tryCommand,
	checkCommand,
	applyCommand,
	submitCommand,
	statusCommand,
	cancelCommand,
	drainCommand,
	evacuateCommand,
	restoreCommand,
	loadCommand,
	versionCommand,
}

// run parses the arguments, runs the verb and returns the exit status:
// 0 for success, 1 for a failure, 2 for bad arguments or settings.
func run(arguments []string, results, diagnostics io.Writer) int {
	parser, err := newParser(output{results, diagnostics})
	if err != nil {
		fmt.Fprintln(diagnostics, "comfreystream:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintln(diagnostics, "comfreystream:", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(diagnostics, "comfreystream:", err)
		return exitStatus(err)
	}
	return 0
}

func newParser(out output) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("comfreystream"),
		kong.Description("Schedules multi-accelerator jobs under organisation guarantees."),
		kong.Writers(out.results, out.diagnostics),
	}
	for _, c := range commands {
		options = append(options, kong.DynamicCommand(c.name, c.help, "", c.grammar(out)))
	}
	return kong.New(&struct{}{}, options...)
}
