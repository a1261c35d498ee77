package membership

import (
	"comfreystream/state"
	"net/netip"
	"slices"
	"time"
)

// compare sends the digest of the table to one member of this zone and of
// the others in turn, so that whatever was missed is found.
func (m *Members) compare(round int, start uint32) {
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
		m.Send(member.Gossip, Message{Kind: Compare, Sequence: start, Digest: v.digest})
	}
}

func (m *Members) answerCompare(from netip.AddrPort, message Message) {
	v := m.view()
	if v.digest == message.Digest {
		return
	}
	m.Send(from, Message{Kind: Page, Sequence: message.Sequence, Digest: v.digest, Updates: m.page(v, message)})
}

// takePage answers with what the other side lacks, if its digest still
// differs; grown says that the page named unknown members, so that there may be more.
func (m *Members) takePage(from netip.AddrPort, message Message, grown bool) {
	if grown {
		m.pullSoon.Store(true)
	}
	v := m.view()
	if v.digest == message.Digest {
		return
	}
	if updates := m.page(v, message); len(updates) > 0 {
		m.Send(from, Message{Kind: Push, Updates: updates})
	}
}

// page returns updates from the buckets in which the digests differ, this
// member's own first and then from the place that the message names.
func (m *Members) page(v *view, message Message) []Update {
	theirs := message.Digest
	own, status := m.self.get()
	updates := []Update{{Member: own, Status: status}}
	bucket := bucketOf(hashAddress(own.Address))
	if v.digest[bucket] == theirs[bucket] {
		updates = nil
	}
	if len(v.records) == 0 {
		return updates
	}
	now := m.Now()
	start := int(message.Sequence % uint32(len(v.records)))
	for i := range v.records {
		r := &v.records[(start+i)%len(v.records)]
		bucket := bucketOf(hashAddress(r.member.Address))
		if v.digest[bucket] == theirs[bucket] || !r.worthPaging(now) {
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
