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

// viewCache holds the view that was last built from the table.
type viewCache struct {
	// version is the number of changes of the table and the local member.
	version atomic.Uint64
	current atomic.Pointer[view]
	mu      sync.Mutex
}

// view is an immutable copy of the table, sorted for its readers.
type view struct {
	version uint64
	// live are the live members, the local one included, sorted by address.
	live []state.Member
	// byZone are the live members by availability zone, sorted by address.
	byZone map[string][]state.Member
	// others are the live members without the local one.
	others []state.Member
	// otherZones are the live members of other zones.
	otherZones []state.Member
	// zonePeers are the other live members of this zone, in the order of the
	// ring that starts after the local member.
	zonePeers []state.Member
	// dead are the dead members, which are probed at a low rate.
	dead     []state.Member
	suspects []record
	// records are all known members but the local one, sorted by address.
	records []record
}

// MemberView is one member in the view that operators see.
type MemberView struct {
	Member state.Member
	Status Status
	// Since is when the status began in the local view; zero for the local member.
	Since time.Time
}

// View returns all known members with their status, the local one first.
func (m *Members) View() []MemberView {
	own, status := m.local.get()
	entries := []MemberView{{Member: own, Status: status}}
	for _, r := range m.view().records {
		entries = append(entries, MemberView{Member: r.member, Status: r.status, Since: r.since})
	}
	return entries
}

// view returns the current view, and builds it if the table has changed.
func (m *Members) view() *view {
	if current := m.viewCache.cached(); current != nil {
		return current
	}
	m.viewCache.mu.Lock()
	defer m.viewCache.mu.Unlock()
	if current := m.viewCache.cached(); current != nil {
		return current
	}
	version := m.viewCache.version.Load()
	own, status := m.local.get()
	next := newView(own, status, m.table.Values())
	next.version = version
	m.viewCache.current.Store(next)
	return next
}

// invalidate makes the next reader build a new view. It must be called after
// the change, not before, so that no view of the old state gets the new version.
func (c *viewCache) invalidate() {
	c.version.Add(1)
}

// cached returns the last view, or nil if it is out of date.
func (c *viewCache) cached() *view {
	current := c.current.Load()
	if current == nil || current.version != c.version.Load() {
		return nil
	}
	return current
}

// newView builds a view from the local member, its status and the records, which it sorts.
func newView(own state.Member, status Status, records []record) *view {
	slices.SortFunc(records, func(a, b record) int { return a.member.Address.Compare(b.member.Address) })
	v := &view{records: records, byZone: make(map[string][]state.Member)}
	for i := range records {
		v.addRecord(own, &records[i])
	}
	v.live = slices.Clone(v.others)
	if status == Alive {
		v.live = append(v.live, own)
	}
	slices.SortFunc(v.live, state.CompareMembers)
	for _, member := range v.live {
		v.byZone[member.AvailabilityZone] = append(v.byZone[member.AvailabilityZone], member)
	}
	sortRing(own, v.zonePeers)
	return v
}

func (v *view) addRecord(own state.Member, r *record) {
	if r.status == Dead {
		v.dead = append(v.dead, r.member)
	}
	if r.status == Suspect {
		v.suspects = append(v.suspects, *r)
	}
	if !r.isLive() {
		return
	}
	v.others = append(v.others, r.member)
	if r.member.AvailabilityZone == own.AvailabilityZone {
		v.zonePeers = append(v.zonePeers, r.member)
		return
	}
	v.otherZones = append(v.otherZones, r.member)
}

// sortRing sorts the members by the hash of their address, starting after that
// of the local member. Hashing keeps hosts with adjacent addresses from being
// adjacent in the ring.
func sortRing(own state.Member, members []state.Member) {
	start := hashAddress(own.Address)
	slices.SortFunc(members, func(a, b state.Member) int {
		return cmp.Compare(hashAddress(a.Address)-start, hashAddress(b.Address)-start)
	})
}

func hashAddress(address netip.AddrPort) uint64 {
	var buffer [18]byte
	ip := address.Addr().As16()
	copy(buffer[:16], ip[:])
	binary.BigEndian.PutUint16(buffer[16:], address.Port())
	return xxhash.Sum64(buffer[:])
}
