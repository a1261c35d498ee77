// Package planning judges one availability zone: which job starts where, which
// running job makes way, and which guarantees hold. It decides alone; it starts
// no goroutine and sends nothing.
package planning
