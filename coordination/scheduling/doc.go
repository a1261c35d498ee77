// Package scheduling decides, for one term of a planner, which gangs and tasks
// start on which workers, and follows them until their ends are on record.
package scheduling
