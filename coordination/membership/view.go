package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreystream/state"
)

// views keeps the last view that was derived from the table.
type views struct {
	// version counts the changes of the table.
	version atomic.Uint64
	current atomic.Pointer[view]
	mu      sync.Mutex
}

// view is an unchanging picture of the table.
type view struct {
	version uint64
	// live are the members in use, this one included, by address.
	live   []state.Member
	byZone map[string][]state.Member
	// others are the members in use but this one.
	others []state.Member
	// far are the members in use of other zones.
	far []state.Member
	// near are the members in use of this zone but this one, in the order of
	// the ring from this member on.
	near []state.Member
	// lost are the dead members, which are probed at a low rate.
	lost     []state.Member
	suspects []record
	// records are all others by address.
	records []record
}

// Entry is a line of the view that operators see.
type Entry struct {
	Member state.Member
	Status Status
	// Since is when the status began in this member's view; zero for itself.
	Since time.Time
}

// View returns what this member knows of all, itself first.
func (m *Members) View() []Entry {
	own, status := m.self.get()
	entries := []Entry{{Member: own, Status: status}}
	for _, r := range m.view().records {
		entries = append(entries, Entry{Member: r.member, Status: r.status, Since: r.since})
	}
	return entries
}

func (m *Members) view() *view {
	if current := m.views.latest(); current != nil {
		return current
	}
	m.views.mu.Lock()
	defer m.views.mu.Unlock()
	if current := m.views.latest(); current != nil {
		return current
	}
	version := m.views.version.Load()
	own, status := m.self.get()
	next := derive(own, status, m.table.Values())
	next.version = version
	m.views.current.Store(next)
	return next
}

// changed makes the next reader derive a new view; it is called after the
// change of the table.
func (v *views) changed() {
	v.version.Add(1)
}

// latest returns the last view, or nil if the table changed since.
func (v *views) latest() *view {
	current := v.current.Load()
	if current == nil || current.version != v.version.Load() {
		return nil
	}
	return current
}

func derive(own state.Member, status Status, records []record) *view {
	slices.SortFunc(records, func(a, b record) int { return a.member.Address.Compare(b.member.Address) })
	v := &view{records: records, byZone: make(map[string][]state.Member)}
	for i := range records {
		v.add(own, &records[i])
	}
	v.live = slices.Clone(v.others)
	if status == Alive {
		v.live = append(v.live, own)
	}
	slices.SortFunc(v.live, state.CompareMembers)
	for _, member := range v.live {
		v.byZone[member.AvailabilityZone] = append(v.byZone[member.AvailabilityZone], member)
	}
	sortRing(own, v.near)
	return v
}

func (v *view) add(own state.Member, r *record) {
	if r.status == Dead {
		v.lost = append(v.lost, r.member)
	}
	if r.status == Suspect {
		v.suspects = append(v.suspects, *r)
	}
	if !r.usable() {
		return
	}
	v.others = append(v.others, r.member)
	if r.member.AvailabilityZone == own.AvailabilityZone {
		v.near = append(v.near, r.member)
		return
	}
	v.far = append(v.far, r.member)
}

// sortRing orders the members by hash, starting behind the own place, so that
// neighbours in the address plan are not neighbours in the ring.
func sortRing(own state.Member, members []state.Member) {
	origin := hashAddress(own.Address)
	slices.SortFunc(members, func(a, b state.Member) int {
		return cmp.Compare(hashAddress(a.Address)-origin, hashAddress(b.Address)-origin)
	})
}

func hashAddress(address netip.AddrPort) uint64 {
	var text [18]byte
	number := address.Addr().As16()
	copy(text[:16], number[:])
	binary.BigEndian.PutUint16(text[16:], address.Port())
	return xxhash.Sum64(text[:])
}
