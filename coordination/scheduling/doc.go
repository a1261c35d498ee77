// Package scheduling places gangs and single tasks on workers during one term
// of the elected planner: it queues, places, preempts, starts and stops them,
// and saves their progress in the store until they have ended.
package scheduling
