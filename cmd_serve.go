package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"

	"comfreystream/instance"
	"comfreystream/logs"
	"comfreystream/settings"
)

var serveCommand = command{
	name:    "serve",
	help:    "Run one entry instance until it is told to stop.",
	grammar: func(out output) any { return &serveArguments{out: out} },
}

type serveArguments struct {
	out      output
	Settings string `help:"Settings file, JSON with comments." placeholder:"FILE" required:"" type:"path"`
}

// serveCollectAbovePercent is that part for an entry of serve. With 60, a crowd that sent
// pipelined requests reached 84 MB of 80 once while the machine was busy.
const serveCollectAbovePercent = 45

// Run validates the settings, starts the entry, and drains it on SIGTERM,
// SIGINT or an operator's request.
func (a *serveArguments) Run() error {
	s, err := readSettings(a.Settings)
	if err != nil {
		return err
	}
	level, err := logs.ParseLevel(s.LogLevel)
	if err != nil {
		return &usageError{err}
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / 100 * serveCollectAbovePercent)
	}
	i, err := instance.Start(s, logs.New(a.out.diagnostics, level))
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stop)
	select {
	case <-stop:
	case <-i.Drained():
	}
	return i.Close()
}

func readSettings(file string) (*settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{errors.Wrap(err, "read settings: name a readable file with --settings")}
	}
	s, err := settings.Decode(file, data)
	if err != nil {
		return nil, &usageError{err}
	}
	return s, nil
}
