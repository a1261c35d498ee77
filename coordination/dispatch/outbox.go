package dispatch

import (
	"net/netip"
	"sync"

	"comfreystream/state"
)

// outbox is a rack's shard: which report of its home came last, and what the
// home is to be told in the next reply.
type outbox struct {
	mu       sync.Mutex
	home     netip.AddrPort
	sequence uint64
	whole    []state.JobAttempt
	stop     []state.JobAttempt
	forget   []state.JobAttempt
}

// tellRacks changes the outbox of each rack of the placements.
func (d *Dispatcher) tellRacks(placements []state.Placement, change func(o *outbox)) {
	for _, rack := range racksOf(placements) {
		o := d.outboxOf(rack)
		o.mu.Lock()
		change(o)
		o.mu.Unlock()
	}
}

func (d *Dispatcher) outboxOf(rack string) (o *outbox) {
	d.racks.Update(rack, func(known *outbox, found bool) (*outbox, bool) {
		if !found {
			known = &outbox{}
		}
		o = known
		return known, true
	})
	return o
}

// receive notes a report's origin; it reports whether one before it is missing.
func (o *outbox) receive(report *state.RackReport) (gap bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	gap = !report.Full && (o.home != report.Home || report.Sequence != o.sequence+1)
	o.home, o.sequence = report.Home, report.Sequence
	return gap
}

// take empties the outbox into a reply. A reply that is lost does no harm: the
// home then sends a full report, which is answered in full.
func (o *outbox) take(reply *state.ReportReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.Whole = append(reply.Whole, o.whole...)
	reply.Stop = append(reply.Stop, o.stop...)
	reply.Forget = append(reply.Forget, o.forget...)
	o.whole, o.stop, o.forget = nil, nil, nil
}
