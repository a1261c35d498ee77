// Package workflow holds the model of a job with steps: what was submitted,
// how far each of its gangs and tasks has come, and the workers and the
// policy that decide where it may run.
package workflow
