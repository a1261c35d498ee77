// Package workload sends a seeded list of jobs to entries at set times, whether
// or not earlier ones have been answered, checks each answer and measures the
// completion time from the moment at which the request was due.
package workload
