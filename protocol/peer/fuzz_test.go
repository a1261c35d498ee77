package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"comfreystream/state"
)

// roundTrip decodes data as a Message and passes the result to use. A message
// that decodes must be equal after it is encoded and decoded once more.
func roundTrip[Message any](t *testing.T, data []byte, use func(Message)) {
	t.Helper()
	var first, second Message
	if messageCodec.Unmarshal(data, &first) != nil {
		return
	}
	use(first)
	encoded, err := messageCodec.Marshal(first)
	if err != nil {
		t.Fatalf("%+v: %v", first, err)
	}
	if err := messageCodec.Unmarshal(encoded, &second); err != nil || !encodesEqually(first, second) {
		t.Errorf("%+v became %+v, %v", first, second, err)
	}
}

// encodesEqually compares the encodings, in which nil and empty slices are equal.
func encodesEqually(first, second any) bool {
	a, errA := messageCodec.Marshal(first)
	b, errB := messageCodec.Marshal(second)
	return errA == nil && errB == nil && (bytes.Equal(a, b) || reflect.DeepEqual(first, second))
}

// FuzzMessages decodes arbitrary bytes as each message that a peer may send and
// converts the result; no enumeration may exceed its last value.
func FuzzMessages(f *testing.F) {
	reference := referenceTime{time.Unix(1700000000, 0)}
	lease := state.Lease{ID: 1, Token: 2, Worker: worker, Job: "a.1", Attempt: 3, Members: 4, Expires: reference.now.Add(time.Second)}
	report := state.RackReport{Full: true, Workers: []state.WorkerReport{{Tasks: []state.Task{{Lease: lease, Phase: state.TaskDone, Job: sampleJob}}}}}
	seeds := []any{
		jobRequest{Job: toWireJob(&sampleJob), Resubmitted: true},
		jobIDRequest{Job: "a.1", Wait: time.Second},
		result[wireProgress]{Value: toWireProgress(state.Progress{Done: true, Phase: state.JobDone, Outcome: sampleOutcome})},
		result[emptyMessage]{Error: &wireError{Step: "hold", Peer: worker, Reason: state.LeaseRefused, Ambiguous: true, Detail: "x"}},
		wireHoldRequest{Rack: "r1", Job: toWireJob(&sampleJob), Placements: []wirePlacement{{Worker: worker, Members: 1}}},
		leasesMessage{Rack: "r1", Leases: []wireLease{reference.toLease(lease)}},
		reference.toRackReport(report),
		toWireUpdate(sampleUpdate),
		map[int]any{1: map[int]any{7: 255}},
	}
	for _, seed := range seeds {
		data, err := messageCodec.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		roundTrip(t, data, func(m jobRequest) {
			if job := m.Job.job(); job.Urgency > state.Urgent || job.Adjacency > state.SameRack {
				t.Errorf("decoded a job with an undefined value: %+v", job)
			}
		})
		roundTrip(t, data, func(m result[wireProgress]) { _ = m.Value.progress().Phase.String() })
		roundTrip(t, data, func(m result[emptyMessage]) {
			if m.Error != nil {
				_ = state.StepParts(*m.Error).StepError("x", worker).Error()
			}
		})
		roundTrip(t, data, func(m wireHoldRequest) { _ = m.Job.job() })
		roundTrip(t, data, func(m leasesMessage) { _ = convert(m.Leases, reference.lease) })
		roundTrip(t, data, func(m wireRackReport) {
			for _, w := range reference.rackReport(m).Workers {
				for _, task := range w.Tasks {
					if task.Phase > state.TaskStopped {
						t.Errorf("decoded a task with an undefined phase: %+v", task)
					}
				}
			}
		})
		roundTrip(t, data, func(m wireUpdate) { _ = m.update() })
		roundTrip(t, data, func(m wireReportReply) { _ = m.reply() })
	})
}
