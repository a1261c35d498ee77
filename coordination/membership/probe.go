package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// probe is a Ping without an Ack so far.
type probe struct {
	sequence uint32
	target   state.Member
	gossip   netip.AddrPort
	sent     time.Time
	timeouts timeouts
	// helperRounds is the number of times that helpers were asked.
	helperRounds int
	// carriesLeave is set if the Ping announced the local member's departure.
	carriesLeave bool
	// requester is the gossip address that asked for this probe in a PingRequest;
	// it is the zero value for a probe of the local member's own.
	requester         netip.AddrPort
	requesterSequence uint32
}

// probeMember pings a member, which is suspected if it does not answer.
func (m *Members) probeMember(target state.Member) {
	timeouts := crossZoneTimeouts
	if target.AvailabilityZone == m.Self().AvailabilityZone {
		timeouts = sameZoneTimeouts
	}
	m.ping(probe{target: target, gossip: target.Gossip, timeouts: timeouts})
}

// probeAddress pings a gossip address, which need not answer.
func (m *Members) probeAddress(gossip netip.AddrPort) {
	m.ping(probe{gossip: gossip, timeouts: crossZoneTimeouts})
}

// ping sends and records the probe. Members of other zones rarely receive the
// local member's record, so each Ping to them carries it.
func (m *Members) ping(p probe) {
	p.sequence = m.sequence.Add(1)
	p.sent = m.Now()
	_, status := m.local.get()
	p.carriesLeave = status == Left
	introduce := p.carriesLeave || p.timeouts == crossZoneTimeouts
	m.probes.Put(p.sequence, p)
	m.Send(p.gossip, Message{Kind: Ping, Sequence: p.sequence, Updates: m.piggybackFor(p.gossip, introduce)})
}

// advanceProbes probes silent targets through helpers and suspects those that
// stay silent.
func (m *Members) advanceProbes(now time.Time) {
	waiting := m.probes.Values()
	slices.SortFunc(waiting, func(a, b probe) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, p := range waiting {
		m.advanceProbe(p, now.Sub(p.sent))
	}
}

func (m *Members) advanceProbe(p probe, waited time.Duration) {
	if !p.target.Address.IsValid() {
		if waited >= p.timeouts.probe {
			m.probes.Delete(p.sequence)
		}
		return
	}
	switch {
	case waited >= p.timeouts.probe:
		m.suspectTarget(p)
	case waited >= p.timeouts.direct*time.Duration(1+p.helperRounds):
		m.probeIndirectly(p)
	}
}

// probeIndirectly sends the Ping again and asks helpers to ping the target too.
// It is called every timeouts.direct until the Ack arrives or the probe times out.
func (m *Members) probeIndirectly(p probe) {
	m.probes.Update(p.sequence, func(waiting probe, found bool) (probe, bool) {
		waiting.helperRounds++
		return waiting, found
	})
	if p.helperRounds == 0 {
		m.count(EventAskedHelpers)
		defer m.probeNewSuccessor(p.target)
	}
	m.Send(p.gossip, Message{Kind: Ping, Sequence: p.sequence, Updates: m.piggybackFor(p.gossip, p.carriesLeave)})
	for _, helper := range m.chooseHelpers(p.target) {
		m.Send(helper.Gossip, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.gossip})
	}
}

// chooseHelpers returns random members to probe the target through. For a target
// of this zone it prefers members of this zone, otherwise members of third zones.
func (m *Members) chooseHelpers(target state.Member) []state.Member {
	v := m.view()
	own := m.Self().AvailabilityZone
	var chosen []state.Member
	if target.AvailabilityZone == own {
		chosen = m.random.appendSample(chosen, indirectHelpers, v.zonePeers, func(x *state.Member) bool { return x.Address != target.Address })
		return m.random.appendSample(chosen, indirectHelpers-len(chosen), v.otherZones, func(*state.Member) bool { return true })
	}
	outsideTargetZone := func(x *state.Member) bool { return x.AvailabilityZone != target.AvailabilityZone }
	chosen = m.random.appendSample(chosen, indirectHelpers, v.otherZones, outsideTargetZone)
	return m.random.appendSample(chosen, indirectHelpers-len(chosen), v.zonePeers, outsideTargetZone)
}

// suspectTarget ends a failed probe and suspects its target, unless the target is
// no longer live or has another address by now.
func (m *Members) suspectTarget(p probe) {
	m.probes.Delete(p.sequence)
	r, found := m.table.Get(p.target.Address)
	if !found || r.member.Gossip != p.gossip || !r.isLive() {
		return
	}
	if m.applyUpdate(Update{Member: r.member, Status: Suspect}, updateSource{sameZone: true}) {
		m.push(0, p.gossip)
	}
}

// pingSuspects pings some suspects, whichever member suspected them: the Ping
// carries the suspicion, and the Ack its refutation.
func (m *Members) pingSuspects() {
	v := m.view()
	if len(v.suspects) == 0 {
		return
	}
	own := m.Self().AvailabilityZone
	sameZone := func(x *state.Member) bool { return x.AvailabilityZone == own }
	otherZone := func(x *state.Member) bool { return x.AvailabilityZone != own }
	var suspects []state.Member
	for _, r := range v.suspects {
		suspects = append(suspects, r.member)
	}
	chosen := m.random.appendSample(nil, sameZoneSuspectPings, suspects, sameZone)
	for _, suspect := range m.random.appendSample(chosen, crossZoneSuspectPings, suspects, otherZone) {
		m.ping(probe{gossip: suspect.Gossip, timeouts: sameZoneTimeouts})
	}
}

// failingTargets returns the addresses of members that did not answer the first
// Ping of a probe in time.
func (m *Members) failingTargets() (addresses []netip.AddrPort) {
	for _, p := range m.probes.Values() {
		if p.helperRounds > 0 {
			addresses = append(addresses, p.target.Address)
		}
	}
	return addresses
}

// piggybackFor returns the updates in a Ping or Ack to that gossip address: first
// a claim for the receiver to refute, then the local member's record if introduce
// is set or the receiver is unknown, then queued updates.
func (m *Members) piggybackFor(gossip netip.AddrPort, introduce bool) []Update {
	var updates []Update
	claim, known, found := m.claimAbout(gossip)
	if found {
		updates = append(updates, claim)
	}
	if introduce || !known {
		member, status := m.local.get()
		updates = append(updates, Update{Member: member, Status: status})
	}
	queued := m.broadcasts.take(maxPiggyback-len(updates), len(m.view().live), m.Now())
	return append(updates, queued...)
}
