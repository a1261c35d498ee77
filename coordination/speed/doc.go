// Package speed estimates how fast each worker is from the progress of the tasks that
// run there. It compares tasks whose amounts of work belong together, so that wrong
// declared run times do not count against a worker.
package speed
