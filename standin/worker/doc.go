// Package worker is a small stand-in for the platform's workers: leases with
// fencing tokens, tasks that end by themselves, and switches for faults.
package worker
