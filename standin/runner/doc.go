// Package runner is a small stand-in for workers that run tasks under leases,
// in memory, with faults; it notes what a judge of the promises wants to know.
package runner
