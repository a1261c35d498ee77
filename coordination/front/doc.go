// Package front serves the callers of an entry: it selects the availability zone,
// submits the job to the zone's planner, and waits for the outcome, also when
// another entry becomes the planner meanwhile.
package front
