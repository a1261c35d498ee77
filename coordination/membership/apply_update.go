package membership

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// updateSource says how an update was received.
type updateSource struct {
	// sameZone is set if the local member or one of its zone sent the update.
	sameZone bool
	// inPage is set if the update came in a Page or a Complement, which other
	// members get as well.
	inPage bool
}

// applyUpdate merges one update into the table, and reports whether it should be
// pushed to others at once.
func (m *Members) applyUpdate(u Update, source updateSource) (push bool) {
	now := m.Now()
	if !isValidUpdate(u, now) {
		m.count(EventBadUpdate)
		return false
	}
	own, _ := m.local.get()
	if u.Member.Address == own.Address {
		return m.refuteClaim(u)
	}
	sameZone := u.Member.AvailabilityZone == own.AvailabilityZone
	if sameZone && !source.sameZone && (u.Status == Suspect || u.Status == Dead) {
		m.forwardClaim(u)
		return false
	}
	c := m.mergeIntoTable(u, now, sameZone)
	if !c.accepted {
		return false
	}
	if m.shouldGossip(c, sameZone, source) {
		m.broadcasts.enqueue(broadcast{update: u, suspectedAt: m.suspectedAt(u), advertOnly: !c.statusChanged})
	}
	m.notify(u, c)
	return c.statusChanged && (sameZone || u.Status == Left)
}

// isValidUpdate rejects updates that no correct member sends. An incarnation far
// in the future is among them, since a refutation of it would be rejected too.
func isValidUpdate(u Update, now time.Time) bool {
	latest := state.IncarnationAt(now.Add(clockTolerance))
	return u.Member.Address.IsValid() && u.Member.Gossip.IsValid() &&
		u.Member.Incarnation <= latest && u.Status >= Alive && u.Status <= Left
}

// mergeIntoTable merges the update into the member's record unless the table is full.
func (m *Members) mergeIntoTable(u Update, now time.Time, sameZone bool) (c change) {
	suspicionTimeout := crossZoneTimeouts.suspicion
	if sameZone {
		suspicionTimeout = sameZoneTimeouts.suspicion
	}
	full := m.table.Len() >= maxMembers
	m.table.Update(u.Member.Address, func(old record, found bool) (record, bool) {
		if !found && full {
			c.event = EventTableFull
			return old, false
		}
		var next record
		next, c = mergeUpdate(old, found, u, now, suspicionTimeout)
		return next, found || c.accepted
	})
	if c.event == EventTableFull {
		m.count(EventTableFull)
	}
	return c
}

// shouldGossip reports whether to queue the update for gossip. With many members
// an advert is gossiped within its zone only, so that the traffic does not grow
// with their number.
func (m *Members) shouldGossip(c change, sameZone bool, source updateSource) bool {
	if c.statusChanged {
		return c.event != EventJoined || !source.inPage
	}
	return c.advertChanged && (sameZone || m.table.Len() < crossZoneAdvertLimit)
}

// notify indexes the gossip address of an accepted update, invalidates the view,
// counts the event and calls the callbacks.
func (m *Members) notify(u Update, c change) {
	m.byGossip.Put(u.Member.Gossip, u.Member.Address)
	m.viewCache.invalidate()
	if c.statusChanged {
		m.count(c.event)
	}
	if c.liveChanged && m.OnChange != nil {
		m.OnChange()
	}
	if c.advertChanged && m.OnAdvert != nil {
		m.OnAdvert(u.Member)
	}
}

// suspectedAt returns when the member was first suspected, by the local clock;
// zero for other statuses.
func (m *Members) suspectedAt(u Update) time.Time {
	if u.Status != Suspect {
		return time.Time{}
	}
	return m.Now().Add(-u.Age)
}

// refuteClaim refutes a claim about the local member. After a claim that it is
// dead, its view is not fresh until a member of its zone sends an Ack.
func (m *Members) refuteClaim(claim Update) (push bool) {
	if !m.local.refute(claim) {
		return false
	}
	if claim.Status == Dead {
		m.freshness.recordDeclaredDead(m.Now())
		m.count(EventDeclaredDead)
	}
	m.count(EventRefuted)
	m.announceSelf(claim.Status != Alive)
	return false
}

// forwardClaim sends a member of this zone what another zone claims about it, so
// that it can refute the claim. Only members of its own zone may suspect a
// member or declare it dead.
func (m *Members) forwardClaim(u Update) {
	known, found := m.table.Get(u.Member.Address)
	if !found || !known.isLive() || !u.supersedes(&known) {
		return
	}
	m.count(EventForeignClaim)
	if m.broadcasts.takePushToken() {
		m.Send(known.member.Gossip, Message{Kind: Push, Updates: []Update{u}})
	}
}

// claimAbout returns what the local member believes about the member at the
// gossip address unless it is alive, for that member to refute. Known reports
// whether there is a record of it, found whether there is a claim.
func (m *Members) claimAbout(gossip netip.AddrPort) (claim Update, known, found bool) {
	address, known := m.byGossip.Get(gossip)
	if !known {
		return Update{}, false, false
	}
	r, known := m.table.Get(address)
	if !known || r.status == Alive {
		return Update{}, known, false
	}
	u := Update{Member: r.member, Status: r.status}
	if r.status == Suspect {
		u.Age = m.Now().Sub(r.since)
	}
	return u, true, true
}
