// Command comfreystream schedules multi-accelerator jobs under organisation guarantees.
package main
