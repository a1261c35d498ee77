// Package planning decides, for one availability zone, which queued job starts on which
// workers, which running jobs are reclaimed, and whether the guarantees can be met. It only
// computes decisions: it starts no goroutine and sends no message.
package planning
