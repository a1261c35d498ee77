package membership

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// Tick checks the outstanding probes and suspicions, probes the next members and
// removes expired records. It must be called by one goroutine, every tickPeriod.
func (m *Members) Tick() {
	now := m.Now()
	if m.freshness.recordTick(now) {
		m.resetAfterPause(now)
	}
	m.broadcasts.refillPushTokens()
	m.advanceProbes(now)
	m.expireSuspects(now)
	m.pingSuspects()
	m.probeNext()
	if m.ticks%removalTicks == 0 {
		m.removeExpired(now)
	}
	m.ticks++
}

// resetAfterPause discards outstanding probes and restarts every suspicion, since
// Acks and refutations may have been missed during a pause of this process.
func (m *Members) resetAfterPause(now time.Time) {
	m.count(EventResumed)
	for _, p := range m.probes.Values() {
		m.probes.Delete(p.sequence)
	}
	for _, r := range m.view().suspects {
		m.table.Update(r.member.Address, func(old record, found bool) (record, bool) {
			old.expires = now.Add(crossZoneTimeouts.suspicion)
			return old, found
		})
	}
	m.viewCache.invalidate()
}

// expireSuspects declares dead the suspects that did not refute in time.
func (m *Members) expireSuspects(now time.Time) {
	expired := 0
	for _, r := range m.view().suspects {
		if now.Before(r.expires) {
			continue
		}
		m.applyUpdate(Update{Member: r.member, Status: Dead}, updateSource{sameZone: true})
		expired++
	}
	if expired > 0 {
		m.push(crossZoneFanout, netip.AddrPort{})
	}
}

// probeNext probes the target of this tick: the successors in the zone's ring in
// turn and, in the last tick of a round, either a member of another zone or a
// dead member or seed, the latter with a comparison of the tables.
func (m *Members) probeNext() {
	v := m.view()
	position, round := m.ticks%ticksPerRound, m.ticks/ticksPerRound
	if m.ticks%compareTicks == 0 && m.pendingCompares.Load() > 0 {
		m.pendingCompares.Add(-1)
		m.sendCompare(round)
	}
	if len(v.others) == 0 && position == 0 {
		m.probeDeadAndSeeds(v, seedsPerRound)
		return
	}
	if position < ticksPerRound-1 {
		m.probeSuccessor(v, position%successors)
		return
	}
	if round%2 == 0 {
		m.probeOtherZone(v)
		return
	}
	m.sendCompare(round / 2)
	m.probeDeadAndSeeds(v, 1)
}

// probeSuccessor pings the successor at that position in the ring, not counting
// suspects and members whose probe is failing.
func (m *Members) probeSuccessor(v *view, position int) {
	failing := m.failingTargets()
	for _, r := range v.suspects {
		failing = append(failing, r.member.Address)
	}
	for _, member := range v.zonePeers {
		if slices.Contains(failing, member.Address) {
			continue
		}
		if position == 0 {
			m.probeMember(member)
			return
		}
		position--
	}
}

// probeNewSuccessor at once pings the member that replaces a silent successor, so
// that the failure of several neighbours in the ring is detected in time.
func (m *Members) probeNewSuccessor(silent state.Member) {
	if silent.AvailabilityZone == m.Self().AvailabilityZone {
		m.probeSuccessor(m.view(), successors-1)
	}
}

// probeOtherZone pings a random live member of another zone.
func (m *Members) probeOtherZone(v *view) {
	for _, member := range m.appendOthers(nil, 1, v.otherZones, netip.AddrPort{}) {
		m.probeMember(member)
	}
}

// probeDeadAndSeeds pings up to count of the dead members and of the seeds that
// are not the address of a live member.
func (m *Members) probeDeadAndSeeds(v *view, count int) {
	candidates := slices.Clone(v.dead)
	for _, seed := range *m.seeds.Load() {
		isSeed := func(x state.Member) bool { return x.Gossip == seed }
		if !slices.ContainsFunc(v.others, isSeed) && !slices.ContainsFunc(candidates, isSeed) {
			candidates = append(candidates, state.Member{Gossip: seed})
		}
	}
	for _, member := range m.appendOthers(nil, count, candidates, netip.AddrPort{}) {
		m.probeAddress(member.Gossip)
	}
}

// removeExpired removes the records of members that died or left longer ago than
// the retention time.
func (m *Members) removeExpired(now time.Time) {
	for _, r := range m.view().records {
		if r.isLive() || now.Sub(r.since) < r.retention() {
			continue
		}
		m.table.Update(r.member.Address, func(old record, found bool) (record, bool) {
			return old, found && (old.isLive() || old.since != r.since)
		})
		m.byGossip.Delete(r.member.Gossip)
		m.viewCache.invalidate()
		m.count(EventForgotten)
	}
}
