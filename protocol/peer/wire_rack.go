package peer

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// wireLease carries the remaining time instead of an expiry time, since the
// clocks of two entries differ.
type wireLease struct {
	ID        state.LeaseID  `cbor:"1,keyasint"`
	Token     state.Token    `cbor:"2,keyasint"`
	Worker    netip.AddrPort `cbor:"3,keyasint"`
	Job       state.JobID    `cbor:"4,keyasint"`
	Attempt   state.Attempt  `cbor:"5,keyasint"`
	Members   int            `cbor:"6,keyasint"`
	Remaining time.Duration  `cbor:"7,keyasint"`
}

type wireTask struct {
	Lease      wireLease     `cbor:"1,keyasint"`
	Phase      wireTaskPhase `cbor:"2,keyasint"`
	Started    bool          `cbor:"3,keyasint,omitempty"`
	Checkpoint []byte        `cbor:"4,keyasint,omitempty"`
	Answer     []byte        `cbor:"5,keyasint,omitempty"`
	Used       wireResources `cbor:"6,keyasint"`
	Job        *wireJob      `cbor:"7,keyasint,omitempty"`
}

type wireRack struct {
	Name             string `cbor:"1,keyasint"`
	AvailabilityZone string `cbor:"2,keyasint"`
	Position         int    `cbor:"3,keyasint"`
}

type wireWorkerReport struct {
	Address  netip.AddrPort `cbor:"1,keyasint"`
	Rack     wireRack       `cbor:"2,keyasint"`
	Capacity wireResources  `cbor:"3,keyasint"`
	Leaving  bool           `cbor:"4,keyasint,omitempty"`
	Listed   bool           `cbor:"5,keyasint,omitempty"`
	Lost     bool           `cbor:"6,keyasint,omitempty"`
	Tasks    []wireTask     `cbor:"7,keyasint,omitempty"`
}

type wireRackReport struct {
	Rack     wireRack           `cbor:"1,keyasint"`
	Home     netip.AddrPort     `cbor:"2,keyasint"`
	Sequence uint64             `cbor:"3,keyasint"`
	Full     bool               `cbor:"4,keyasint,omitempty"`
	Workers  []wireWorkerReport `cbor:"5,keyasint,omitempty"`
}

type wireReportReply struct {
	Resend bool          `cbor:"1,keyasint,omitempty"`
	Whole  []wireAttempt `cbor:"2,keyasint,omitempty"`
	Stop   []wireAttempt `cbor:"3,keyasint,omitempty"`
	Forget []wireAttempt `cbor:"4,keyasint,omitempty"`
}

// referenceTime converts expiry times to remaining durations and back; all
// leases of one message use the same one.
type referenceTime struct{ now time.Time }

func (at referenceTime) toLease(l state.Lease) wireLease {
	return wireLease{
		ID: l.ID, Token: l.Token, Worker: l.Worker, Job: l.Job, Attempt: l.Attempt,
		Members: l.Members, Remaining: l.Expires.Sub(at.now),
	}
}

func (at referenceTime) lease(w wireLease) state.Lease {
	return state.Lease{
		ID: w.ID, Token: w.Token, Worker: w.Worker, Job: w.Job, Attempt: w.Attempt,
		Members: w.Members, Expires: at.now.Add(w.Remaining),
	}
}

func (at referenceTime) toTask(t state.Task) wireTask {
	w := wireTask{
		Lease: at.toLease(t.Lease), Phase: wireTaskPhase(t.Phase), Started: t.Started,
		Checkpoint: t.Checkpoint, Answer: t.Answer, Used: wireResources(t.Used),
	}
	if t.Job.ID != "" {
		job := toWireJob(&t.Job)
		w.Job = &job
	}
	return w
}

func (at referenceTime) task(w wireTask) state.Task {
	t := state.Task{
		Lease: at.lease(w.Lease), Phase: state.TaskPhase(w.Phase), Started: w.Started,
		Checkpoint: w.Checkpoint, Answer: w.Answer, Used: state.Resources(w.Used),
	}
	if w.Job != nil {
		t.Job = w.Job.job()
	}
	return t
}

func (at referenceTime) toWorkerReport(r state.WorkerReport) wireWorkerReport {
	return wireWorkerReport{
		Address: r.Worker.Address, Rack: wireRack(r.Worker.Rack), Capacity: wireResources(r.Worker.Capacity),
		Leaving: r.Worker.Leaving, Listed: r.Listed, Lost: r.Lost, Tasks: convert(r.Tasks, at.toTask),
	}
}

func (at referenceTime) workerReport(w wireWorkerReport) state.WorkerReport {
	worker := state.Worker{
		Address: w.Address, Rack: state.Rack(w.Rack), Capacity: state.Resources(w.Capacity), Leaving: w.Leaving,
	}
	return state.WorkerReport{Worker: worker, Listed: w.Listed, Lost: w.Lost, Tasks: convert(w.Tasks, at.task)}
}

func (at referenceTime) toRackReport(r state.RackReport) wireRackReport {
	return wireRackReport{
		Rack: wireRack(r.Rack), Home: r.Home, Sequence: r.Sequence, Full: r.Full,
		Workers: convert(r.Workers, at.toWorkerReport),
	}
}

func (at referenceTime) rackReport(w wireRackReport) state.RackReport {
	return state.RackReport{
		Rack: state.Rack(w.Rack), Home: w.Home, Sequence: w.Sequence, Full: w.Full,
		Workers: convert(w.Workers, at.workerReport),
	}
}

func toWireReply(r state.ReportReply) wireReportReply {
	return wireReportReply{
		Resend: r.Resend,
		Whole:  convert(r.AllRunning, toWireAttempt),
		Stop:   convert(r.Stop, toWireAttempt),
		Forget: convert(r.Forget, toWireAttempt),
	}
}

func (w wireReportReply) reply() state.ReportReply {
	return state.ReportReply{
		Resend:     w.Resend,
		AllRunning: convert(w.Whole, wireAttempt.attempt),
		Stop:       convert(w.Stop, wireAttempt.attempt),
		Forget:     convert(w.Forget, wireAttempt.attempt),
	}
}
