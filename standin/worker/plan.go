package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"comfreystream/state"
)

const defaultRunTime = 20 * time.Millisecond

// taskPlan is what a job's payload tells the stand-in to do.
type taskPlan struct {
	runTime time.Duration
	fail    bool
	answer  string
}

type wirePlan struct {
	Run    string `json:"run"`
	Fail   bool   `json:"fail"`
	Answer string `json:"answer"`
}

// planOf reads a payload such as {"run":"1.5s","answer":"layout 7"}; one that
// it cannot read runs for the default time.
func planOf(job *state.Job) taskPlan {
	var wire wirePlan
	if err := json.Unmarshal(job.Payload, &wire); err != nil {
		return taskPlan{runTime: defaultRunTime}
	}
	runTime, err := time.ParseDuration(wire.Run)
	if err != nil {
		runTime = defaultRunTime
	}
	return taskPlan{runTime: runTime, fail: wire.Fail, answer: wire.Answer}
}

func (p taskPlan) answerFor(job *state.Job, members int) []byte {
	if p.answer != "" {
		return []byte(p.answer)
	}
	return fmt.Appendf(nil, "%s ran %d", job.ID, members)
}

// remaining returns the run time left after the checkpoints of an earlier attempt.
func (p taskPlan) remaining(job *state.Job) time.Duration {
	left := p.runTime
	for _, c := range job.Checkpoints {
		done, err := time.ParseDuration(string(c))
		if err != nil {
			continue
		}
		left = min(left, p.runTime-done)
	}
	return max(left, 0)
}
