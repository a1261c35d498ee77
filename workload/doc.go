// Package workload is an open-loop load generator: it submits a seeded list of jobs to
// entries at scheduled times, whether or not earlier ones have completed. It checks
// every outcome and measures the completion time from the time at which the request
// was due.
package workload
