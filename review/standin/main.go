// Command standin plays one case of the review: it starts the project's program as
// separate processes, and plays the platform's store, the workers, the operator and
// the clients itself. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// playLimit ends a case that hangs.
	playLimit = 112 * time.Second
)

// cases holds what each case plays; trouble is false if the disruption is left out.
// They return the breaches of the rule that they saw.
var cases = map[string]func(d *deployment, trouble bool) []string{
	"ends":     playEnds,
	"reclaim":  playReclaim,
	"avoided":  playAvoided,
	"nogpu":    playNoGPU,
	"replaced": playReplaced,
	"kind":     playKind,
	"pending":  playPending,
	"flood":    playFlood,
	"silent":   playSilent,
	"fragment": playFragment,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitUnable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer func() { _ = record.Close() }()
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer d.close()
	result := make(chan int, 1)
	go func() { result <- d.play(cases[os.Args[1]], trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case code = <-result:
	case <-signals:
		code = exitUnable
	case <-time.After(playLimit):
		d.note("the case took too long")
		code = exitUnable
	}
	return code
}

// unable is the panic value of a case that cannot go on.
type unable string

// play runs a case and returns the exit code.
func (d *deployment) play(game func(d *deployment, trouble bool) []string, trouble bool) (code int) {
	defer func() {
		if value := recover(); value != nil {
			cause, known := value.(unable)
			if !known {
				panic(value)
			}
			d.note("unable to play: %s", cause)
			fmt.Println("unable to play:", cause)
			code = exitUnable
		}
	}()
	d.note("trouble: %v", trouble)
	breaches := game(d, trouble)
	for i, breach := range breaches {
		d.note("BROKEN %s", breach)
		if i < 5 {
			fmt.Println("BROKEN", breach)
		}
	}
	d.note("breaches: %d", len(breaches))
	fmt.Println("breaches:", len(breaches))
	if len(breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}
