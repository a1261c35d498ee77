// Command comfreystream schedules multi-accelerator jobs under guarantees of
// capacity to organisations. It runs the entries and contains the operators'
// and callers' commands.
package main
