package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"comfreystream/coordination/membership"
	"comfreystream/state"
)

const (
	tickPeriod = 200 * time.Millisecond
	// interZoneLoss is the fraction of messages between zones that is lost.
	interZoneLoss = 0.01
)

// fleet simulates many members on one virtual clock. Each message between them
// is encoded and decoded.
type fleet struct {
	now    time.Time
	queue  eventQueue
	order  uint64
	random *rand.Rand
	nodes  []*fleetNode
	byAddr map[netip.AddrPort]*fleetNode
	zones  int
	// loss is the fraction of all messages that is lost.
	loss float64
}

type fleetNode struct {
	*membership.Members
	index    int
	zone     string
	gossip   netip.AddrPort
	stopped  bool
	messages int
	bytes    int
	onChange func(n *fleetNode)
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// newFleet starts count members, spread over the zones, with up to three seeds each.
func newFleet(count, zones int, seed uint64) *fleet {
	f := &fleet{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[netip.AddrPort]*fleetNode),
		zones:  zones,
	}
	for i := range count {
		f.start(i)
	}
	return f
}

func (f *fleet) start(index int) {
	ip := netip.AddrFrom4([4]byte{10, byte(index % f.zones), byte(index >> 8), byte(index)})
	n := &fleetNode{index: index, zone: fmt.Sprint("region-", index%f.zones), gossip: netip.AddrPortFrom(ip, 7071)}
	n.Members = membership.New(state.Member{
		Address:          netip.AddrPortFrom(ip, 7070),
		Gossip:           n.gossip,
		AvailabilityZone: n.zone,
		Incarnation:      state.IncarnationAt(f.now),
	}, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	n.Now = func() time.Time { return f.now }
	n.Send = func(to netip.AddrPort, message membership.Message) { f.send(n, to, message) }
	n.OnChange = func() {
		if n.onChange != nil {
			n.onChange(n)
		}
	}
	var seeds []netip.AddrPort
	for _, other := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, other.gossip)
	}
	n.Seed(seeds)
	f.nodes = append(f.nodes, n)
	f.byAddr[n.gossip] = n
	f.after(time.Duration(f.random.Int64N(int64(tickPeriod))), func() { f.tick(n) })
}

func (f *fleet) tick(n *fleetNode) {
	if n.stopped {
		return
	}
	n.Tick()
	f.after(tickPeriod, func() { f.tick(n) })
}

func (f *fleet) send(from *fleetNode, to netip.AddrPort, message membership.Message) {
	payload, err := encode(message)
	if err != nil {
		panic(err)
	}
	from.messages++
	from.bytes += len(payload) + headerBytes
	target := f.byAddr[to]
	if target == nil {
		return
	}
	delay := 200*time.Microsecond + time.Duration(f.random.Int64N(int64(time.Millisecond)))
	if f.random.Float64() < f.loss {
		return
	}
	if from.zone != target.zone {
		if f.random.Float64() < interZoneLoss {
			return
		}
		delay = 4*time.Millisecond + time.Duration(f.random.Int64N(int64(4*time.Millisecond)))
	}
	f.after(delay, func() {
		if target.stopped {
			return
		}
		decoded, reason := decode(payload)
		if reason != "" {
			panic(reason)
		}
		target.Handle(from.gossip, decoded)
	})
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(delay), order: f.order, run: run})
}

// run advances the virtual clock by span and runs the events that fall due.
func (f *fleet) run(span time.Duration) {
	end := f.now.Add(span)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// repeat schedules action once per period for the span from now on.
func (f *fleet) repeat(period, span time.Duration, action func(i int)) {
	for i := range int(span / period) {
		f.after(time.Duration(i)*period, func() { action(i) })
	}
}

// restart stops a member and starts a new one at its address a second later.
func (f *fleet) restart(n *fleetNode) {
	n.stopped = true
	f.after(time.Second, func() { f.start(n.index) })
}

// traffic returns the messages and bytes sent by all members since the last call.
func (f *fleet) traffic() (messages, bytes int) {
	for _, n := range f.nodes {
		messages += n.messages
		bytes += n.bytes
		n.messages, n.bytes = 0, 0
	}
	return messages, bytes
}

// countMissing returns the number of running members missing from the views of
// running members, summed over all views.
func (f *fleet) countMissing() (missing int) {
	running := 0
	for _, n := range f.nodes {
		if !n.stopped {
			running++
		}
	}
	for _, n := range f.nodes {
		if !n.stopped {
			missing += max(running-len(n.Live()), 0)
		}
	}
	return missing
}
