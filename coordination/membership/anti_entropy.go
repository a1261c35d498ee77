package membership

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// sendCompare sends the filter of the live members to a random member, of this
// zone in even rounds and of another zone in odd ones, to find updates that
// gossip missed. If there is none, it goes to a member of the other kind.
func (m *Members) sendCompare(round int) {
	v := m.view()
	first, second := v.zonePeers, v.otherZones
	if round%2 == 1 {
		first, second = second, first
	}
	chosen := m.appendOthers(nil, 1, first, netip.AddrPort{})
	if len(chosen) == 0 {
		chosen = m.appendOthers(nil, 1, second, netip.AddrPort{})
	}
	for _, member := range chosen {
		params := m.filterParamsFor(member.Gossip, m.random.uint32())
		m.Send(member.Gossip, Message{Kind: Compare, Sequence: params.salt, Filter: params.filter(v)})
	}
}

// handleCompare answers a filter that differs from the local one with the local
// filter and the updates that the other side lacks.
func (m *Members) handleCompare(from netip.AddrPort, message Message) {
	v := m.view()
	params := m.filterParamsFor(from, message.Sequence)
	ours := params.filter(v)
	if ours == message.Filter {
		return
	}
	m.Send(from, Message{
		Kind:     Page,
		Sequence: message.Sequence,
		Filter:   ours,
		Updates:  m.updatesMissingFrom(v, params, &message.Filter),
	})
}

// handlePage answers a Page with the updates that the other side lacks. If the
// Page named unknown members there may be more, and further comparisons follow.
func (m *Members) handlePage(from netip.AddrPort, message Message, foundUnknown bool) {
	if foundUnknown {
		m.pendingCompares.Store(comparesAfterGrowth)
	}
	params := m.filterParamsFor(from, message.Sequence)
	if updates := m.updatesMissingFrom(m.view(), params, &message.Filter); len(updates) > 0 {
		m.Send(from, Message{Kind: Complement, Updates: updates})
	}
}

// filterParamsFor returns the parameters for a comparison with the member at the
// gossip address.
func (m *Members) filterParamsFor(gossip netip.AddrPort, salt uint32) filterParams {
	params := filterParams{salt: salt}
	if _, sameZone := m.lookUpSender(gossip); sameZone {
		params.zone = m.Self().AvailabilityZone
	}
	return params
}

// updatesMissingFrom returns up to maxPage updates about live members that are
// not in the filter and members in it that are no longer live. The salt selects
// the record to start from, so that successive pages differ.
func (m *Members) updatesMissingFrom(v *view, params filterParams, theirs *Filter) (updates []Update) {
	own, status := m.local.get()
	if theirs.contains(params.bitOf(&own)) == (status == Left) {
		updates = append(updates, Update{Member: own, Status: status})
	}
	now := m.Now()
	for i := range v.records {
		r := &v.records[(int(params.salt%uint32(len(v.records)))+i)%len(v.records)]
		if theirs.contains(params.bitOf(&r.member)) == r.isLive() || !r.belongsInPage(now) {
			continue
		}
		updates = append(updates, r.toUpdate(now))
		if len(updates) == maxPage {
			break
		}
	}
	return updates
}

// belongsInPage leaves out members that died or left long ago, which all others
// know by now.
func (r *record) belongsInPage(now time.Time) bool {
	return r.isLive() || now.Sub(r.since) < pageRetention
}

// toUpdate returns the update that announces the record.
func (r *record) toUpdate(now time.Time) Update {
	u := Update{Member: r.member, Status: r.status}
	if r.status == Suspect {
		u.Age = now.Sub(r.since)
	}
	return u
}

// appendOthers appends up to count random members that are neither in chosen nor
// at the gossip address except.
func (m *Members) appendOthers(chosen []state.Member, count int, from []state.Member, except netip.AddrPort) []state.Member {
	return m.random.appendSample(chosen, count, from, func(x *state.Member) bool {
		return x.Gossip != except && !slices.ContainsFunc(chosen, func(c state.Member) bool { return c.Address == x.Address })
	})
}
