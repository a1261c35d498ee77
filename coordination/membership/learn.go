package membership

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// origin says how an update came here.
type origin struct {
	// near is set if this member itself or one of its zone sent it.
	near bool
	// page is set if it is part of a page, which others get as well.
	page bool
}

// learn takes one update into the view, and reports whether the news should
// be pushed on at once.
func (m *Members) learn(u Update, from origin) (push bool) {
	now := m.Now()
	if !credible(u, now) {
		m.count(EventBadUpdate)
		return false
	}
	own, _ := m.self.get()
	if u.Member.Address == own.Address {
		return m.defend(u)
	}
	inZone := u.Member.AvailabilityZone == own.AvailabilityZone
	if inZone && !from.near && (u.Status == Suspect || u.Status == Dead) {
		m.passClaim(u)
		return false
	}
	c := m.store(u, now, inZone)
	if !c.accepted {
		return false
	}
	if m.travels(c, inZone, from) {
		m.news.put(newsItem{update: u, since: m.suspectedAt(u), advert: !c.status})
	}
	m.report(u, c)
	return c.status && (inZone || u.Status == Left)
}

// credible refuses what no member could have sent; an incarnation far in the
// future could never be refuted.
func credible(u Update, now time.Time) bool {
	latest := state.IncarnationAt(now.Add(clockTolerance))
	return u.Member.Address.IsValid() && u.Member.Gossip.IsValid() &&
		u.Member.Incarnation <= latest && u.Status >= Alive && u.Status <= Left
}

func (m *Members) store(u Update, now time.Time, inZone bool) (c change) {
	patience := farTimeouts.suspicion
	if inZone {
		patience = nearTimeouts.suspicion
	}
	full := m.table.Len() >= maxMembers
	m.table.Update(u.Member.Address, func(old record, found bool) (record, bool) {
		if !found && full {
			c.event = EventTableFull
			return old, false
		}
		var next record
		next, c = merge(old, found, u, now, patience)
		return next, found || c.accepted
	})
	if c.event == EventTableFull {
		m.count(EventTableFull)
	}
	return c
}

// travels reports whether this member passes the news on with its probes. An
// advert travels within its zone alone once there are many members, so that
// the bytes do not grow with the fleet.
func (m *Members) travels(c change, inZone bool, from origin) bool {
	if c.status {
		return c.event != EventJoined || !from.page
	}
	return c.advert && (inZone || m.table.Len() < fewMembers)
}

// report counts accepted news and tells those who asked to know.
func (m *Members) report(u Update, c change) {
	m.byGossip.Put(u.Member.Gossip, u.Member.Address)
	m.views.changed()
	if c.status {
		m.count(c.event)
	}
	if c.live && m.OnChange != nil {
		m.OnChange()
	}
	if c.advert && m.OnAdvert != nil {
		m.OnAdvert(u.Member)
	}
}

func (m *Members) suspectedAt(u Update) time.Time {
	if u.Status != Suspect {
		return time.Time{}
	}
	return m.Now().Add(-u.Age)
}

// defend refutes a claim about this member itself. After a claim that it was
// dead its view counts as old until it hears an acknowledgement.
func (m *Members) defend(claim Update) (push bool) {
	if !m.self.refute(claim) {
		return false
	}
	if claim.Status == Dead {
		m.contact.declaredDead(m.Now())
		m.count(EventDeclaredDead)
	}
	m.count(EventRefuted)
	m.announceSelf(claim.Status != Alive)
	return false
}

// passClaim tells a member of this zone what another zone claims about it,
// so that it can refute: a zone judges its own members.
func (m *Members) passClaim(u Update) {
	known, found := m.table.Get(u.Member.Address)
	if !found || !known.usable() || !u.supersedes(&known) {
		return
	}
	m.count(EventForeignClaim)
	if m.news.mayPush() {
		m.Send(known.member.Gossip, Message{Kind: Push, Updates: []Update{u}})
	}
}

// claimAbout returns what this member holds of the target if it is not
// simply alive, for the target to refute.
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
