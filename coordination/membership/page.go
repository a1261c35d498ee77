package membership

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// compare sends the filter of the table to one member of this zone and of
// the others in turn, so that whatever was missed is found.
func (m *Members) compare(round int) {
	v := m.view()
	first, second := v.near, v.far
	if round%2 == 1 {
		first, second = second, first
	}
	chosen := m.pickOthers(nil, 1, first, netip.AddrPort{})
	if len(chosen) == 0 {
		chosen = m.pickOthers(nil, 1, second, netip.AddrPort{})
	}
	for _, member := range chosen {
		s := m.scopeWith(member.Gossip, m.dice.uint32())
		m.Send(member.Gossip, Message{Kind: Compare, Sequence: s.salt, Filter: s.filter(v)})
	}
}

// answerCompare sends what the other side lacks, and the own filter if the
// two differ at all.
func (m *Members) answerCompare(from netip.AddrPort, message Message) {
	v := m.view()
	s := m.scopeWith(from, message.Sequence)
	ours := s.filter(v)
	if ours == message.Filter {
		return
	}
	m.Send(from, Message{
		Kind:     Page,
		Sequence: message.Sequence,
		Filter:   ours,
		Updates:  m.page(v, s, &message.Filter),
	})
}

// takePage answers with what the other side lacks; grown says that the page
// named unknown members, so that there may be more.
func (m *Members) takePage(from netip.AddrPort, message Message, grown bool) {
	if grown {
		m.pulls.Store(pullsAfterGrowth)
	}
	s := m.scopeWith(from, message.Sequence)
	if updates := m.page(m.view(), s, &message.Filter); len(updates) > 0 {
		m.Send(from, Message{Kind: Complement, Updates: updates})
	}
}

func (m *Members) scopeWith(gossip netip.AddrPort, salt uint32) scope {
	s := scope{salt: salt}
	if _, near := m.sender(gossip); near {
		s.zone = m.Self().AvailabilityZone
	}
	return s
}

// page returns updates about members that the filter's sender lacks, and
// about those that it has and that are out of use, from a place that the
// salt chooses.
func (m *Members) page(v *view, s scope, theirs *Filter) (updates []Update) {
	own, status := m.self.get()
	if theirs.has(s.bit(&own)) == (status == Left) {
		updates = append(updates, Update{Member: own, Status: status})
	}
	now := m.Now()
	for i := range v.records {
		r := &v.records[(int(s.salt%uint32(len(v.records)))+i)%len(v.records)]
		if theirs.has(s.bit(&r.member)) == r.usable() || !r.worthPaging(now) {
			continue
		}
		updates = append(updates, r.update(now))
		if len(updates) == maxPage {
			break
		}
	}
	return updates
}

// worthPaging leaves out the dead of long ago, whom all others know as such.
func (r *record) worthPaging(now time.Time) bool {
	return r.usable() || now.Sub(r.since) < recentChange
}

func (r *record) update(now time.Time) Update {
	u := Update{Member: r.member, Status: r.status}
	if r.status == Suspect {
		u.Age = now.Sub(r.since)
	}
	return u
}

func (m *Members) pickOthers(chosen []state.Member, count int, from []state.Member, except netip.AddrPort) []state.Member {
	return m.dice.pick(chosen, count, from, func(x *state.Member) bool {
		return x.Gossip != except && !slices.ContainsFunc(chosen, func(c state.Member) bool { return c.Address == x.Address })
	})
}
