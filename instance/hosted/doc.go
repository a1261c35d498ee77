// Package hosted assembles an instance that runs on the hosting platform: every
// instance serves callers, and one of them is the planner.
package hosted
