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

// TestClaims tells one member, which knows a mate of its zone and a member of
// another one, what others claim.
func TestClaims(t *testing.T) {
	own, mate, far := testMember(1, "a"), testMember(2, "a"), testMember(3, "b")
	later := func(m state.Member, by int64) state.Member {
		m.Incarnation = state.Incarnation(int64(m.Incarnation) + by)
		return m
	}
	tests := []struct {
		name   string
		from   state.Member
		claims []Update
		live   int
		// wantOwn is how far the own incarnation has grown.
		wantOwn state.Incarnation
		event   Event
	}{
		{"an older claim about this member", mate, []Update{{Member: later(own, -1), Status: Dead}}, 3, 0, ""},
		{"a suspicion of this member", mate, []Update{{Member: own, Status: Suspect}}, 3, 1, EventRefuted},
		{"a death of this member", far, []Update{{Member: own, Status: Dead}}, 3, 1, EventDeclaredDead},
		{"a life of this member from before a restart", mate, []Update{{Member: later(own, 5), Status: Alive}}, 3, 6, EventRefuted},
		{"an incarnation that could not be refuted", mate, []Update{{Member: later(own, 1<<62), Status: Dead}}, 3, 0, EventBadUpdate},
		{"a mate's death, from its zone", mate, []Update{{Member: mate, Status: Dead}}, 2, 0, EventDied},
		{"a mate's death, from another zone", far, []Update{{Member: mate, Status: Dead}}, 3, 0, EventForeignClaim},
		{"a mate's leaving, from another zone", far, []Update{{Member: later(mate, 1), Status: Left}}, 2, 0, EventLeft},
		{"a death in another zone", mate, []Update{{Member: far, Status: Dead}}, 2, 0, EventDied},
		{"an older death", mate, []Update{{Member: later(far, -1), Status: Dead}}, 3, 0, ""},
		{"a death and a newer life", mate, []Update{{Member: far, Status: Dead}, {Member: later(far, 1), Status: Alive}}, 3, 0, EventReturned},
		{"a life after the leaving", mate, []Update{{Member: later(far, 1), Status: Left}, {Member: far, Status: Alive}}, 2, 0, EventLeft},
		{"a death of an unknown member", mate, []Update{{Member: testMember(9, "a"), Status: Dead}}, 3, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(own, rand.New(rand.NewPCG(1, 1)))
			m.Now = func() time.Time { return time.UnixMilli(testStart) }
			for _, member := range []state.Member{mate, far} {
				m.Handle(member.Gossip, Message{Kind: Push, Updates: []Update{{Member: member, Status: Alive}}})
			}
			counted := map[Event]int{}
			m.Count = func(e Event) { counted[e]++ }
			m.Handle(tt.from.Gossip, Message{Kind: Push, Updates: tt.claims})
			if live := len(m.Live()); live != tt.live {
				t.Errorf("%d live members, want %d", live, tt.live)
			}
			if grown := m.Self().Incarnation - own.Incarnation; grown != tt.wantOwn {
				t.Errorf("own incarnation grew by %d, want %d", grown, tt.wantOwn)
			}
			if tt.event == "" && len(counted) > 0 || tt.event != "" && counted[tt.event] != 1 {
				t.Errorf("counted %v, want %q", counted, tt.event)
			}
		})
	}
}

// TestPausedJudge lets a suspicion be overdue when the process takes its next step.
func TestPausedJudge(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
	}{
		{"steps on time", tickPeriod},
		{"paused for longer than the suspicion", time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, mate := testMember(1, "a"), testMember(2, "a")
			now := time.UnixMilli(testStart)
			m := New(own, rand.New(rand.NewPCG(1, 1)))
			m.Now = func() time.Time { return now }
			m.Tick()
			m.Handle(mate.Gossip, Message{Kind: Push, Updates: []Update{{Member: mate, Status: Suspect}}})
			now = now.Add(tt.pause)
			m.Tick()
			if got := m.View()[1].Status; got != Suspect {
				t.Errorf("the mate is %v, want suspect", got)
			}
			for range nearTimeouts.suspicion/tickPeriod + farTimeouts.suspicion/tickPeriod {
				now = now.Add(tickPeriod)
				m.Tick()
			}
			if got := m.View()[1].Status; got != Dead {
				t.Errorf("the silent mate is %v in the end, want dead", got)
			}
		})
	}
}

func TestFresh(t *testing.T) {
	const second = time.Second
	start := time.UnixMilli(testStart)
	tests := []struct {
		name string
		// ticks, ack and dead are times since the start; a negative one did not happen.
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
			var c contact
			acknowledge := func(from, to time.Duration) {
				if tt.dead >= from && tt.dead < to && tt.dead <= tt.ack {
					c.declaredDead(start.Add(tt.dead))
				}
				if tt.ack >= from && tt.ack < to {
					c.acknowledged(start.Add(tt.ack))
				}
				if tt.dead >= from && tt.dead < to && tt.dead > tt.ack {
					c.declaredDead(start.Add(tt.dead))
				}
			}
			for i, tick := range tt.ticks {
				c.step(start.Add(tick))
				next := tt.at
				if i+1 < len(tt.ticks) {
					next = tt.ticks[i+1]
				}
				acknowledge(tick, next)
			}
			if got := c.fresh(start.Add(tt.at), tt.alone); got != tt.want {
				t.Errorf("fresh %v, want %v", got, tt.want)
			}
		})
	}
}
