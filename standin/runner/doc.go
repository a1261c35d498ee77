// Package runner simulates workers that run tasks under leases, in memory and
// with injected faults. It records every attempt, so that tests can check the
// scheduler's guarantees.
package runner
