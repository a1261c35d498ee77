// Package fleet runs entries and a simulated platform within one process, connected
// through loopback TCP ports, for trials and tests.
package fleet
