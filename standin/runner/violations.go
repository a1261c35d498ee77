package runner

import (
	"fmt"

	"comfreystream/state/workflow"
)

// Violations describes every guarantee that the runs broke: no attempt starts
// after its task is done or has failed maxAttempts times, and no two attempts
// of a task run at the same time.
func Violations(runs []Run, maxAttempts int) (list []string) {
	for i, a := range runs {
		failures := 0
		for _, b := range runs {
			if b.Task != a.Task {
				continue
			}
			if !b.Acknowledged.IsZero() && b.Outcome == workflow.Faulted && b.Ended.Before(a.Started) {
				failures++
			}
			if !b.Acknowledged.IsZero() && b.Outcome == workflow.Done && b.Ended.Before(a.Started) {
				list = append(list, fmt.Sprintf("%s: attempt %d started after attempt %d was done", a.Task, a.Attempt, b.Attempt))
			}
		}
		if failures >= maxAttempts {
			list = append(list, fmt.Sprintf("%s: attempt %d started after %d failures", a.Task, a.Attempt, failures))
		}
		for _, b := range runs[i+1:] {
			if b.Task == a.Task && (a.Ended.IsZero() || b.Started.Before(a.Ended)) {
				list = append(list, fmt.Sprintf("%s: attempt %d on %s and attempt %d on %s ran at the same time (first ended %v, second started %v)",
					a.Task, a.Attempt, a.Worker, b.Attempt, b.Worker, a.Ended, b.Started))
			}
		}
	}
	return list
}
