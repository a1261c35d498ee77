// Command comfreystream schedules multi-accelerator jobs under organisation guarantees.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
