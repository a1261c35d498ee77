package membership

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// Tick takes one step: it judges silent members, probes the next one and
// sends what is due. Only one goroutine may call it, every tickPeriod.
func (m *Members) Tick() {
	now := m.Now()
	if m.contact.step(now) {
		m.resume(now)
	}
	m.news.refill()
	m.advanceProbes(now)
	m.expireSuspects(now)
	m.remindSuspects()
	m.probeNext()
	if m.ticks%forgetTicks == 0 {
		m.forget(now)
	}
	m.ticks++
}

// resume gives up every judgement that a pause of this process has spoilt.
func (m *Members) resume(now time.Time) {
	m.count(EventResumed)
	for _, p := range m.probes.Values() {
		m.probes.Delete(p.sequence)
	}
	for _, r := range m.view().suspects {
		m.table.Update(r.member.Address, func(old record, found bool) (record, bool) {
			old.expires = now.Add(farTimeouts.suspicion)
			return old, found
		})
	}
	m.views.changed()
}

func (m *Members) expireSuspects(now time.Time) {
	verdicts := 0
	for _, r := range m.view().suspects {
		if now.Before(r.expires) {
			continue
		}
		m.learn(Update{Member: r.member, Status: Dead}, origin{near: true})
		verdicts++
	}
	if verdicts > 0 {
		m.push(farFanout, netip.AddrPort{})
	}
}

// probeNext chooses the target of this step: the two successors in the
// zone's ring in turn, and once a round a member that is farther away.
func (m *Members) probeNext() {
	v := m.view()
	place, round := m.ticks%ticksPerRound, m.ticks/ticksPerRound
	if m.ticks%pullTicks == 0 && m.pulls.Load() > 0 {
		m.pulls.Add(-1)
		m.compare(round)
	}
	if len(v.others) == 0 && place == 0 {
		m.probeLost(v, seedsPerRound)
		return
	}
	if place < ticksPerRound-1 {
		m.probeSuccessor(v, place%successors)
		return
	}
	if round%2 == 0 {
		m.probeFar(v)
		return
	}
	m.compare(round / 2)
	m.probeLost(v, 1)
}

// probeSuccessor pings the successor at that place, passing over members
// that are already found silent.
func (m *Members) probeSuccessor(v *view, place int) {
	failing := m.failing()
	for _, r := range v.suspects {
		failing = append(failing, r.member.Address)
	}
	for _, member := range v.near {
		if slices.Contains(failing, member.Address) {
			continue
		}
		if place == 0 {
			m.probeMember(member)
			return
		}
		place--
	}
}

// probeEntrant pings the member that takes the place of a silent successor at
// once, so that several neighbours that stop together are all found in time.
func (m *Members) probeEntrant(silent state.Member) {
	if silent.AvailabilityZone == m.Self().AvailabilityZone {
		m.probeSuccessor(m.view(), successors-1)
	}
}

func (m *Members) probeFar(v *view) {
	for _, member := range m.pickOthers(nil, 1, v.far, netip.AddrPort{}) {
		m.probeMember(member)
	}
}

// probeLost pings dead members and seeds that are not known to be live.
func (m *Members) probeLost(v *view, count int) {
	lost := slices.Clone(v.lost)
	for _, seed := range *m.seeds.Load() {
		isSeed := func(x state.Member) bool { return x.Gossip == seed }
		if !slices.ContainsFunc(v.others, isSeed) && !slices.ContainsFunc(lost, isSeed) {
			lost = append(lost, state.Member{Gossip: seed})
		}
	}
	for _, member := range m.pickOthers(nil, count, lost, netip.AddrPort{}) {
		m.probeAddress(member.Gossip)
	}
}

// forget removes members that have been out of use for long.
func (m *Members) forget(now time.Time) {
	for _, r := range m.view().records {
		if r.usable() || now.Sub(r.since) < r.retention() {
			continue
		}
		m.table.Update(r.member.Address, func(old record, found bool) (record, bool) {
			return old, found && (old.usable() || old.since != r.since)
		})
		m.byGossip.Delete(r.member.Gossip)
		m.views.changed()
		m.count(EventForgotten)
	}
}
