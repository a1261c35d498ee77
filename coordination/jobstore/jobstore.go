package jobstore

import (
	"strconv"
	"strings"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// The keys in the store. Accepted jobs, cancellations and refusals share a prefix, which
// the planner watches; progress has its own, as only the planner writes it.
const (
	intakePrefix   = "in/"
	jobSuffix      = "/job"
	cancelSuffix   = "/cancel"
	refusalSuffix  = "/refusal"
	progressPrefix = "run/"
	pendingKey     = "pending"
)

// Store reads and writes the stored state of jobs; every field but IDStarts must be set.
type Store struct {
	Store *keyvalue.Store
	// IDStarts holds the texts that a job's ID may begin with, by which listings are split
	// while the store is slow; nil never splits them.
	IDStarts []string
	// ValueBytes returns the most bytes of a value in the store; 0 is no limit.
	ValueBytes     func() int
	EncodeJob      func(job *workflow.Job) ([]byte, error)
	DecodeJob      func(id workflow.ID, text []byte) (*workflow.Job, error)
	EncodeProgress func(progress workflow.Progress) ([]byte, error)
	DecodeProgress func(text []byte) (workflow.Progress, error)
	DecodeStatus   func(text []byte) (workflow.Status, error)
	EncodePending  func(figures backlog.Figures) ([]byte, error)
	DecodePending  func(text []byte) (backlog.Figures, error)
}

func jobKey(id workflow.ID) string    { return intakePrefix + string(id) + jobSuffix }
func cancelKey(id workflow.ID) string { return intakePrefix + string(id) + cancelSuffix }

func refusalKey(id workflow.ID) string { return intakePrefix + string(id) + refusalSuffix }

// progressKey returns the key of a record of the job's progress.
func progressKey(id workflow.ID, record int) string {
	if record == 0 {
		return progressPrefix + string(id)
	}
	return progressPrefix + string(id) + "/" + strconv.Itoa(record)
}

// parseProgressKey returns the job and the number of the record at a key with
// progressPrefix; known is false for a key of another form.
func parseProgressKey(key string) (id workflow.ID, record int, known bool) {
	name, number, numbered := strings.Cut(strings.TrimPrefix(key, progressPrefix), "/")
	if !numbered {
		return workflow.ID(name), 0, true
	}
	record, err := strconv.Atoi(number)
	return workflow.ID(name), record, err == nil && progressKey(workflow.ID(name), record) == key
}

// parseIntakeKey returns the job of a key with intakePrefix and the key's suffix; known is
// false for any other key.
func parseIntakeKey(key string) (id workflow.ID, suffix string, known bool) {
	name := strings.TrimPrefix(key, intakePrefix)
	for _, suffix := range []string{jobSuffix, cancelSuffix, refusalSuffix} {
		if job, found := strings.CutSuffix(name, suffix); found {
			return workflow.ID(job), suffix, true
		}
	}
	return "", "", false
}
