package runner

import (
	"fmt"

	"comfreystream/state/workflow"
)

// Violations lists each promise that the attempts broke.
func Violations(runs []Run, maxAttempts int) (list []string) {
	for i, a := range runs {
		failed := 0
		for _, b := range runs {
			if b.Task != a.Task {
				continue
			}
			if !b.Noted.IsZero() && b.Outcome == workflow.Faulted && b.Ended.Before(a.Began) {
				failed++
			}
			if !b.Noted.IsZero() && b.Outcome == workflow.Done && b.Ended.Before(a.Began) {
				list = append(list, fmt.Sprintf("%s attempt %d began after attempt %d was done", a.Task, a.Attempt, b.Attempt))
			}
		}
		if failed >= maxAttempts {
			list = append(list, fmt.Sprintf("%s attempt %d began after %d failures", a.Task, a.Attempt, failed))
		}
		for _, b := range runs[i+1:] {
			if b.Task == a.Task && (a.Ended.IsZero() || b.Began.Before(a.Ended)) {
				list = append(list, fmt.Sprintf("%s attempts %d on %s and %d on %s at the same time (%v, %v)",
					a.Task, a.Attempt, a.Worker, b.Attempt, b.Worker, a.Ended, b.Began))
			}
		}
	}
	return list
}
