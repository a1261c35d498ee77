package dispatch

import (
	"net/netip"
	"sync"

	"comfreystream/state"
)

// outbox is the shard of one rack: the last report of its home, and the
// instructions to send with the next reply.
type outbox struct {
	mu       sync.Mutex
	home     netip.AddrPort
	sequence uint64
	renew    []state.JobAttempt
	stop     []state.JobAttempt
	forget   []state.JobAttempt
}

// updateOutboxes changes the outbox of each rack of the placements.
func (d *Dispatcher) updateOutboxes(placements []state.Placement, change func(o *outbox)) {
	for _, rack := range racksOf(placements) {
		o := d.outboxOf(rack)
		o.mu.Lock()
		change(o)
		o.mu.Unlock()
	}
}

func (d *Dispatcher) outboxOf(rack string) (o *outbox) {
	d.outboxes.Update(rack, func(known *outbox, found bool) (*outbox, bool) {
		if !found {
			known = &outbox{}
		}
		o = known
		return known, true
	})
	return o
}

// noteReport stores the report's home and sequence number; it reports whether an
// earlier report is missing.
func (o *outbox) noteReport(report *state.RackReport) (gap bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	gap = !report.Full && (o.home != report.Home || report.Sequence != o.sequence+1)
	o.home, o.sequence = report.Home, report.Sequence
	return gap
}

// moveTo moves the instructions into a reply. If the reply is lost, the home
// sends a full report, and its reply repeats them.
func (o *outbox) moveTo(reply *state.ReportReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.AllRunning = append(reply.AllRunning, o.renew...)
	reply.Stop = append(reply.Stop, o.stop...)
	reply.Forget = append(reply.Forget, o.forget...)
	o.renew, o.stop, o.forget = nil, nil, nil
}
