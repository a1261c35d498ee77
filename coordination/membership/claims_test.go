package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"comfreystream/state"
)

const testStart = 1_786_000_000_000

func testMember(index byte, zone string) state.Member {
	address := netip.AddrFrom4([4]byte{10, 0, 0, index})
	return state.Member{
		Address:          netip.AddrPortFrom(address, 7070),
		Gossip:           netip.AddrPortFrom(address, 7071),
		AvailabilityZone: zone,
		Incarnation:      testStart,
	}
}

// TestClaimHandling sends claims to a member that knows a peer in its own zone
// and a member of another zone. A wrong claim must not stand: members refute
// claims about themselves, and a zone alone declares its own members dead.
func TestClaimHandling(t *testing.T) {
	own, peer, far := testMember(1, "a"), testMember(2, "a"), testMember(3, "b")
	later := func(m state.Member, by int64) state.Member {
		m.Incarnation = state.Incarnation(int64(m.Incarnation) + by)
		return m
	}
	tests := []struct {
		name   string
		from   state.Member
		claims []Update
		live   int
		// wantOwn is the expected increase of the local member's incarnation.
		wantOwn state.Incarnation
		event   Event
	}{
		{"older claim about the local member", peer, []Update{{Member: later(own, -1), Status: Dead}}, 3, 0, ""},
		{"suspicion of the local member", peer, []Update{{Member: own, Status: Suspect}}, 3, 1, EventRefuted},
		{"death of the local member", far, []Update{{Member: own, Status: Dead}}, 3, 1, EventDeclaredDead},
		{"local member alive in a higher incarnation from before its restart", peer, []Update{{Member: later(own, 5), Status: Alive}}, 3, 6, EventRefuted},
		{"incarnation too far in the future to refute", peer, []Update{{Member: later(own, 1<<62), Status: Dead}}, 3, 0, EventBadUpdate},
		{"death of a peer, from its zone", peer, []Update{{Member: peer, Status: Dead}}, 2, 0, EventDied},
		{"death of a peer, from another zone", far, []Update{{Member: peer, Status: Dead}}, 3, 0, EventForeignClaim},
		{"departure of a peer, from another zone", far, []Update{{Member: later(peer, 1), Status: Left}}, 2, 0, EventLeft},
		{"death in another zone", peer, []Update{{Member: far, Status: Dead}}, 2, 0, EventDied},
		{"death of an older incarnation", peer, []Update{{Member: later(far, -1), Status: Dead}}, 3, 0, ""},
		{"death, then alive in a newer incarnation", peer, []Update{{Member: far, Status: Dead}, {Member: later(far, 1), Status: Alive}}, 3, 0, EventReturned},
		{"alive in an older incarnation after the departure", peer, []Update{{Member: later(far, 1), Status: Left}, {Member: far, Status: Alive}}, 2, 0, EventLeft},
		{"death of an unknown member", peer, []Update{{Member: testMember(9, "a"), Status: Dead}}, 3, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(own, rand.New(rand.NewPCG(1, 1)))
			m.Now = func() time.Time { return time.UnixMilli(testStart) }
			for _, member := range []state.Member{peer, far} {
				m.Handle(member.Gossip, Message{Kind: Push, Updates: []Update{{Member: member, Status: Alive}}})
			}
			counted := map[Event]int{}
			m.Count = func(e Event) { counted[e]++ }
			m.Handle(tt.from.Gossip, Message{Kind: Push, Updates: tt.claims})
			if live := len(m.Live()); live != tt.live {
				t.Errorf("%d live members, want %d", live, tt.live)
			}
			if grown := m.Self().Incarnation - own.Incarnation; grown != tt.wantOwn {
				t.Errorf("local incarnation grew by %d, want %d", grown, tt.wantOwn)
			}
			if tt.event == "" && len(counted) > 0 || tt.event != "" && counted[tt.event] != 1 {
				t.Errorf("counted %v, want %q", counted, tt.event)
			}
		})
	}
}

// TestPauseDelaysDeathDeclaration guards against a process that was paused and
// declares a suspect dead although the refutation may have arrived meanwhile.
func TestPauseDelaysDeathDeclaration(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
	}{
		{"ticks on time", tickPeriod},
		{"paused for longer than the suspicion", time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, peer := testMember(1, "a"), testMember(2, "a")
			now := time.UnixMilli(testStart)
			m := New(own, rand.New(rand.NewPCG(1, 1)))
			m.Now = func() time.Time { return now }
			m.Tick()
			m.Handle(peer.Gossip, Message{Kind: Push, Updates: []Update{{Member: peer, Status: Suspect}}})
			now = now.Add(tt.pause)
			m.Tick()
			if got := m.View()[1].Status; got != Suspect {
				t.Errorf("the peer is %v, want suspect", got)
			}
			for range sameZoneTimeouts.suspicion/tickPeriod + crossZoneTimeouts.suspicion/tickPeriod {
				now = now.Add(tickPeriod)
				m.Tick()
			}
			if got := m.View()[1].Status; got != Dead {
				t.Errorf("the silent peer is %v in the end, want dead", got)
			}
		})
	}
}

func TestFresh(t *testing.T) {
	const second = time.Second
	start := time.UnixMilli(testStart)
	tests := []struct {
		name string
		// ticks, ack and dead are times since the start; a negative time means never.
		ticks     []time.Duration
		ack, dead time.Duration
		at        time.Duration
		alone     bool
		want      bool
	}{
		{"never ran", nil, -1, -1, 0, true, false},
		{"just started, alone", []time.Duration{0, second}, -1, -1, second, true, false},
		{"settled alone", []time.Duration{0, second, 2 * second}, -1, -1, 2 * second, true, true},
		{"settled, but its zone has others", []time.Duration{0, second, 2 * second}, -1, -1, 2 * second, false, false},
		{"acknowledged", []time.Duration{0}, second / 2, -1, second, false, true},
		{"acknowledged long ago", []time.Duration{0, second, 2 * second, 3 * second, 4 * second}, second / 2, -1, 4 * second, false, false},
		{"paused since", []time.Duration{0}, second / 2, -1, 2 * second, false, false},
		{"back from a pause, not acknowledged again", []time.Duration{0, 2 * second}, second / 2, -1, 2 * second, false, false},
		{"declared dead after the acknowledgement", []time.Duration{0}, second / 4, second / 2, second, false, false},
		{"acknowledged after it was declared dead", []time.Duration{0}, second / 2, second / 4, second, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f freshness
			acknowledge := func(from, to time.Duration) {
				if tt.dead >= from && tt.dead < to && tt.dead <= tt.ack {
					f.recordDeclaredDead(start.Add(tt.dead))
				}
				if tt.ack >= from && tt.ack < to {
					f.recordAck(start.Add(tt.ack))
				}
				if tt.dead >= from && tt.dead < to && tt.dead > tt.ack {
					f.recordDeclaredDead(start.Add(tt.dead))
				}
			}
			for i, tick := range tt.ticks {
				f.recordTick(start.Add(tick))
				next := tt.at
				if i+1 < len(tt.ticks) {
					next = tt.ticks[i+1]
				}
				acknowledge(tick, next)
			}
			if got := f.isFresh(start.Add(tt.at), tt.alone); got != tt.want {
				t.Errorf("fresh %v, want %v", got, tt.want)
			}
		})
	}
}
