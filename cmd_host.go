package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"comfreystream/instance/hosted"
	"comfreystream/logs"
	"comfreystream/platform"
)

// logBufferLines is the number of log lines that are buffered for a slow
// reader; further ones are dropped.
const logBufferLines = 4096

// collectAbovePercent is the part of the platform's memory limit from which the
// garbage collector works harder, so that a burst does not get the process killed.
const collectAbovePercent = 60

var hostCommand = command{
	name:    "host",
	help:    "Run one entry instance on the hosting platform until it is told to stop.",
	grammar: func(out output) any { return &hostArguments{out: out} },
}

type hostArguments struct {
	out      output
	Settings string `help:"Settings file of the platform." placeholder:"FILE" type:"path"`
	LogLevel string `help:"Least level that is logged: debug, info, warn or error." default:"info"`
}

// Run starts the entry, reloads the settings when the file changes or on
// SIGHUP, and drains the entry on SIGTERM.
func (a *hostArguments) Run() error {
	level, err := logs.ParseLevel(a.LogLevel)
	if err != nil {
		return &usageError{err}
	}
	file := a.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	s, err := platform.ReadSettings(file)
	if err != nil {
		return &usageError{err}
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / 100 * collectAbovePercent)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	out := diode.NewWriter(a.out.results, logBufferLines, 0, nil)
	defer func() { _ = out.Close() }()
	log := logs.New(out, level)
	i, err := hosted.Start(s, log)
	if err != nil {
		return err
	}
	a.follow(i, file, signals, log)
	return errors.Wrap(i.Close(), "stop the entry")
}

// settingsInterval is how often the file is checked, as it may also change
// without a signal.
const settingsInterval = time.Second

// follow reloads changed settings until the entry is told to stop.
func (a *hostArguments) follow(i *hosted.Instance, file string, signals <-chan os.Signal, log zerolog.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	loaded := modTime(file)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
			loaded = modTime(file)
			reload(i, file, log)
		case <-ticker.C:
			if current := modTime(file); !current.Equal(loaded) {
				loaded = current
				reload(i, file, log)
			}
		}
	}
}

// modTime returns the file's modification time, or the zero time if it cannot
// be determined: reading the file then returns the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings in the file, or keeps the current ones if they cannot be read.
func reload(i *hosted.Instance, file string, log zerolog.Logger) {
	s, err := platform.ReadSettings(file)
	if err != nil {
		log.Error().Str("event", "settingsNotReloaded").Err(err).Send()
		return
	}
	i.Reload(s)
}
