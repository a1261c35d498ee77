// Package jobstore reads and writes the durable state of jobs in the platform's
// store: accepted jobs, cancellations, and the progress that the planner saves.
package jobstore
