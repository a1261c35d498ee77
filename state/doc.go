// Package state defines the core types of the scheduler (jobs, workers,
// leases, manifests, reasons) and a sharded map; it imports no other package
// of the program.
package state
