// Package lease implements the home of racks, the entry that manages their
// workers: it holds each worker's fencing token, takes and renews leases for the
// zone's planner, and reports changes to the planner.
package lease
