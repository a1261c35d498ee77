package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// probe is a Ping that waits for its Ack.
type probe struct {
	sequence uint32
	target   state.Member
	gossip   netip.AddrPort
	sent     time.Time
	timeouts timeouts
	// rounds is how often helpers were asked.
	rounds int
	// tells is set if the Ping carried this member's own leaving.
	tells bool
	// requester asked for this probe by a PingRequest; it is not valid otherwise.
	requester         netip.AddrPort
	requesterSequence uint32
}

// probeMember pings a member and expects an answer.
func (m *Members) probeMember(target state.Member) {
	waits := farTimeouts
	if target.AvailabilityZone == m.Self().AvailabilityZone {
		waits = nearTimeouts
	}
	m.ping(probe{target: target, gossip: target.Gossip, timeouts: waits})
}

// probeAddress pings a gossip address whose silence means nothing.
func (m *Members) probeAddress(gossip netip.AddrPort) {
	m.ping(probe{gossip: gossip, timeouts: farTimeouts})
}

// ping sends the probe; members of other zones, which hear of this one rarely,
// get its own record each time.
func (m *Members) ping(p probe) {
	p.sequence = m.sequence.Add(1)
	p.sent = m.Now()
	_, status := m.self.get()
	p.tells = status == Left
	introduce := p.tells || p.timeouts == farTimeouts
	m.probes.Put(p.sequence, p)
	m.Send(p.gossip, Message{Kind: Ping, Sequence: p.sequence, Updates: m.updatesFor(p.gossip, introduce)})
}

// advanceProbes asks helpers for targets that are silent and suspects those
// that stay so.
func (m *Members) advanceProbes(now time.Time) {
	waiting := m.probes.Values()
	slices.SortFunc(waiting, func(a, b probe) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, p := range waiting {
		m.advance(p, now.Sub(p.sent))
	}
}

func (m *Members) advance(p probe, waited time.Duration) {
	if !p.target.Address.IsValid() {
		if waited >= p.timeouts.probe {
			m.probes.Delete(p.sequence)
		}
		return
	}
	switch {
	case waited >= p.timeouts.probe:
		m.suspect(p)
	case waited >= p.timeouts.direct*time.Duration(1+p.rounds):
		m.askHelpers(p)
	}
}

// askHelpers sends the Ping again and asks other members to try; it does so
// every timeouts.direct until the answer is there or the time is over.
func (m *Members) askHelpers(p probe) {
	m.probes.Update(p.sequence, func(waiting probe, found bool) (probe, bool) {
		waiting.rounds++
		return waiting, found
	})
	if p.rounds == 0 {
		m.count(EventAskedHelpers)
		defer m.probeEntrant(p.target)
	}
	m.Send(p.gossip, Message{Kind: Ping, Sequence: p.sequence, Updates: m.updatesFor(p.gossip, p.tells)})
	for _, helper := range m.helpersFor(p.target) {
		m.Send(helper.Gossip, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.gossip})
	}
}

// helpersFor prefers members of the target's zone if that is this zone, and
// of third zones otherwise.
func (m *Members) helpersFor(target state.Member) []state.Member {
	v := m.view()
	own := m.Self().AvailabilityZone
	var chosen []state.Member
	if target.AvailabilityZone == own {
		chosen = m.dice.pick(chosen, helpers, v.near, func(x *state.Member) bool { return x.Address != target.Address })
		return m.dice.pick(chosen, helpers-len(chosen), v.far, func(*state.Member) bool { return true })
	}
	third := func(x *state.Member) bool { return x.AvailabilityZone != target.AvailabilityZone }
	chosen = m.dice.pick(chosen, helpers, v.far, third)
	return m.dice.pick(chosen, helpers-len(chosen), v.near, third)
}

func (m *Members) suspect(p probe) {
	m.probes.Delete(p.sequence)
	r, found := m.table.Get(p.target.Address)
	if !found || r.member.Gossip != p.gossip || !r.usable() {
		return
	}
	if m.learn(Update{Member: r.member, Status: Suspect}, origin{near: true}) {
		m.push(0, p.gossip)
	}
}

// remindSuspects pings some suspects in each step, whoever suspected them
// first: the Ping tells them what to refute, and the Ack brings it.
func (m *Members) remindSuspects() {
	v := m.view()
	if len(v.suspects) == 0 {
		return
	}
	own := m.Self().AvailabilityZone
	near := func(x *state.Member) bool { return x.AvailabilityZone == own }
	far := func(x *state.Member) bool { return x.AvailabilityZone != own }
	var suspects []state.Member
	for _, r := range v.suspects {
		suspects = append(suspects, r.member)
	}
	chosen := m.dice.pick(nil, nearReminders, suspects, near)
	for _, suspect := range m.dice.pick(chosen, farReminders, suspects, far) {
		m.ping(probe{gossip: suspect.Gossip, timeouts: nearTimeouts})
	}
}

// failing returns the members whose probes are past their direct answer.
func (m *Members) failing() (addresses []netip.AddrPort) {
	for _, p := range m.probes.Values() {
		if p.rounds > 0 {
			addresses = append(addresses, p.target.Address)
		}
	}
	return addresses
}

// updatesFor returns what a message to that gossip address carries: first
// what the receiver may have to refute, then this member's own record if it
// must be told, then news.
func (m *Members) updatesFor(gossip netip.AddrPort, introduce bool) []Update {
	var updates []Update
	claim, known, found := m.claimAbout(gossip)
	if found {
		updates = append(updates, claim)
	}
	if introduce || !known {
		member, status := m.self.get()
		updates = append(updates, Update{Member: member, Status: status})
	}
	rest := m.news.take(maxPiggyback-len(updates), len(m.view().live), m.Now())
	return append(updates, rest...)
}
