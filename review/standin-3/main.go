package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases holds the scripted cases by name: each returns whether its rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"moved":     playMoved,
	"rack":      playRack,
	"movedonce": playMovedOnce,
	"failures":  playFailures,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE ROOT RECORD")
		return cantRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer r.close()
	d, err := newDeployment(root, r)
	if err != nil {
		r.line("result: could not run: %v", err)
		return cantRun
	}
	defer d.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		d.close()
		os.Exit(cantRun)
	}()
	isBroken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("result: could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	case isBroken:
		r.line("result: the rule was broken")
		return broken
	}
	r.line("result: the rule held")
	return held
}
