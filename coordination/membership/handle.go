package membership

import (
	"net/netip"
)

// Handle processes a message received from a gossip address, and answers it.
func (m *Members) Handle(from netip.AddrPort, message Message) {
	before := m.table.Len()
	known, sameZone := m.lookUpSender(from)
	source := updateSource{sameZone: sameZone, inPage: message.Kind == Page || message.Kind == Complement}
	push := false
	for _, u := range message.Updates {
		if u.Member.Gossip == from {
			source.sameZone = u.Member.AvailabilityZone == m.Self().AvailabilityZone
		}
		push = m.applyUpdate(u, source) || push
	}
	switch message.Kind {
	case Ping:
		m.sendAck(from, message.Sequence, known)
	case Ack:
		m.handleAck(from, message)
	case PingRequest:
		m.handlePingRequest(from, message)
	case Compare:
		m.handleCompare(from, message)
	case Page:
		m.handlePage(from, message, m.table.Len() > before)
	case Push, Complement:
	}
	if push {
		m.push(0, from)
	}
}

// lookUpSender reports whether the gossip address is that of a known member, and
// whether that member is in this zone.
func (m *Members) lookUpSender(gossip netip.AddrPort) (known, sameZone bool) {
	address, known := m.byGossip.Get(gossip)
	if !known {
		return false, false
	}
	r, known := m.table.Get(address)
	return known, known && r.member.AvailabilityZone == m.Self().AvailabilityZone
}

// sendAck answers a Ping. A sender that was unknown before it also gets the local
// member's record.
func (m *Members) sendAck(to netip.AddrPort, sequence uint32, knownBefore bool) {
	_, known, _ := m.claimAbout(to)
	m.Send(to, Message{
		Kind:     Ack,
		Sequence: sequence,
		Unknown:  !known,
		Updates:  m.piggybackFor(to, !knownBefore),
	})
}

// handleAck completes the probe that the Ack answers, or forwards the Ack if
// another member asked for the probe.
func (m *Members) handleAck(from netip.AddrPort, message Message) {
	p, found := m.probes.Delete(message.Sequence)
	if !found {
		return
	}
	if p.requester.IsValid() {
		m.Send(p.requester, Message{Kind: Ack, Sequence: p.requesterSequence, Updates: message.Updates})
		return
	}
	if message.Unknown {
		m.sendOwnRecord(from)
	}
	v := m.view()
	if p.carriesLeave {
		m.local.countLeaveAck(len(v.others))
	}
	_, sameZone := m.lookUpSender(p.gossip)
	if sameZone {
		m.freshness.recordAck(m.Now())
	}
	if !p.target.Address.IsValid() && len(v.others) <= successors {
		m.pendingCompares.Store(comparesAfterGrowth)
	}
}

// sendOwnRecord sends the local member's record to a member that does not know it.
func (m *Members) sendOwnRecord(to netip.AddrPort) {
	member, status := m.local.get()
	m.Send(to, Message{Kind: Push, Updates: []Update{{Member: member, Status: status}}})
}

// handlePingRequest pings the target on behalf of the requester.
func (m *Members) handlePingRequest(requester netip.AddrPort, message Message) {
	if !message.Target.IsValid() || message.Target == m.Self().Gossip {
		return
	}
	m.ping(probe{
		gossip:            message.Target,
		timeouts:          crossZoneTimeouts,
		requester:         requester,
		requesterSequence: message.Sequence,
	})
}

// push sends queued updates at once to some members of this zone and to crossZone
// members of other zones, but not to except.
func (m *Members) push(crossZone int, except netip.AddrPort) {
	v := m.view()
	chosen := m.appendOthers(nil, sameZoneFanout, v.zonePeers, except)
	chosen = m.appendOthers(chosen, crossZone, v.otherZones, except)
	for _, member := range chosen {
		if m.broadcasts.empty() {
			return
		}
		if !m.broadcasts.takePushToken() {
			m.count(EventPushLimited)
			return
		}
		m.Send(member.Gossip, Message{Kind: Push, Updates: m.broadcasts.take(maxPiggyback, len(v.live), m.Now())})
	}
}
