package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"comfreystream/state"
)

const defaultRunTime = 20 * time.Millisecond

// taskPlan describes how a simulated task runs; it is read from the job's payload.
type taskPlan struct {
	runTime time.Duration
	fail    bool
	answer  string
}

type payload struct {
	Run    string `json:"run"`
	Fail   bool   `json:"fail"`
	Answer string `json:"answer"`
}

// parsePlan parses a payload such as {"run":"1.5s","answer":"layout 7"}. If
// the payload or its run time cannot be parsed, the task runs for defaultRunTime.
func parsePlan(job *state.Job) taskPlan {
	var parsed payload
	if err := json.Unmarshal(job.Payload, &parsed); err != nil {
		return taskPlan{runTime: defaultRunTime}
	}
	runTime, err := time.ParseDuration(parsed.Run)
	if err != nil {
		runTime = defaultRunTime
	}
	return taskPlan{runTime: runTime, fail: parsed.Fail, answer: parsed.Answer}
}

func (p taskPlan) answerFor(job *state.Job, members int) []byte {
	if p.answer != "" {
		return []byte(p.answer)
	}
	return fmt.Appendf(nil, "%s ran %d", job.ID, members)
}

// remainingRunTime returns the run time left after the checkpoints of earlier attempts.
func (p taskPlan) remainingRunTime(job *state.Job) time.Duration {
	remaining := p.runTime
	for _, c := range job.Checkpoints {
		done, err := time.ParseDuration(string(c))
		if err != nil {
			continue
		}
		remaining = min(remaining, p.runTime-done)
	}
	return max(remaining, 0)
}
