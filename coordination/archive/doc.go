// Package archive keeps what must last in the platform's store: accepted
// jobs, cancellations, and the progress that the planner records.
package archive
