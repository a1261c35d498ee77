// Command driver plays the cases of this review on the system's own processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(w *world, trouble bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER, in the repository's root")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(filepath.Join(os.Args[2], "record.txt"))
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(110 * time.Second):
		}
		w.fatal("it was ended, or took too long")
	}()
	w.log("case %s, trouble %v", os.Args[1], trouble)
	cases[os.Args[1]](w, trouble)
	w.finish()
}
