// Package dispatch implements the planner role of one availability zone: it
// accepts jobs, runs planning rounds, starts and stops gangs, tracks the task
// reports of the racks, and keeps each outcome until it has been delivered.
package dispatch
