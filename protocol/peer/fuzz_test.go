package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"comfreystream/state"
)

// roundTrip decodes text as a message of the type and passes it to use; what
// is decoded must mean the same once it is encoded again.
func roundTrip[Message any](t *testing.T, text []byte, use func(Message)) {
	t.Helper()
	var first, second Message
	if messageCodec.Unmarshal(text, &first) != nil {
		return
	}
	use(first)
	again, err := messageCodec.Marshal(first)
	if err != nil {
		t.Fatalf("%+v: %v", first, err)
	}
	if err := messageCodec.Unmarshal(again, &second); err != nil || !sameMeaning(first, second) {
		t.Errorf("%+v became %+v, %v", first, second, err)
	}
}

// sameMeaning compares by encoding, which has one form for nil and empty.
func sameMeaning(first, second any) bool {
	a, errA := messageCodec.Marshal(first)
	b, errB := messageCodec.Marshal(second)
	return errA == nil && errB == nil && (bytes.Equal(a, b) || reflect.DeepEqual(first, second))
}

// FuzzMessages decodes every message that a peer may send.
func FuzzMessages(f *testing.F) {
	now := clock{time.Unix(1700000000, 0)}
	lease := state.Lease{ID: 1, Token: 2, Worker: worker, Job: "a.1", Attempt: 3, Members: 4, Expires: now.now.Add(time.Second)}
	report := state.RackReport{Full: true, Workers: []state.WorkerReport{{Tasks: []state.Task{{Lease: lease, Phase: state.TaskDone, Job: sampleJob}}}}}
	seeds := []any{
		jobRequest{Job: toWireJob(&sampleJob), Again: true},
		idRequest{Job: "a.1", Wait: time.Second},
		result[wireProgress]{Value: toWireProgress(state.Progress{Done: true, Phase: state.JobDone, Outcome: sampleOutcome})},
		result[none]{Error: &wireError{Step: "hold", Peer: worker, Reason: state.LeaseRefused, Ambiguous: true, Detail: "x"}},
		holdRequest{Rack: "r1", Job: toWireJob(&sampleJob), Placements: []wirePlacement{{Worker: worker, Members: 1}}},
		leasesMessage{Rack: "r1", Leases: []wireLease{now.toLease(lease)}},
		now.toRackReport(report),
		toWireUpdate(sampleUpdate),
		map[int]any{1: map[int]any{7: 255}},
	}
	for _, seed := range seeds {
		text, err := messageCodec.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		roundTrip(t, text, func(m jobRequest) {
			if job := m.Job.job(); job.Urgency > state.Urgent || job.Adjacency > state.SameRack {
				t.Errorf("job %+v", job)
			}
		})
		roundTrip(t, text, func(m result[wireProgress]) { _ = m.Value.progress().Phase.String() })
		roundTrip(t, text, func(m result[none]) {
			if m.Error != nil {
				_ = state.StepParts(*m.Error).StepError("x", worker).Error()
			}
		})
		roundTrip(t, text, func(m holdRequest) { _ = m.Job.job() })
		roundTrip(t, text, func(m leasesMessage) { _ = convert(m.Leases, now.lease) })
		roundTrip(t, text, func(m wireRackReport) {
			for _, w := range now.rackReport(m).Workers {
				for _, task := range w.Tasks {
					if task.Phase > state.TaskStopped {
						t.Errorf("task %+v", task)
					}
				}
			}
		})
		roundTrip(t, text, func(m wireUpdate) { _ = m.update() })
		roundTrip(t, text, func(m wireReportReply) { _ = m.reply() })
	})
}
