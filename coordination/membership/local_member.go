package membership

import (
	"sync"

	"comfreystream/state"
)

// enoughLeaveAcks is the number of Acks after which the departure of the local
// member counts as announced.
const enoughLeaveAcks = 3

// localMember is the local member's own record, which it announces to the others.
type localMember struct {
	mu     sync.Mutex
	member state.Member
	status Status
	// leaveAcked is closed once enough members have acknowledged the departure.
	leaveAcked chan struct{}
	leaveAcks  int
}

func newLocalMember(member state.Member) *localMember {
	return &localMember{member: member, status: Alive, leaveAcked: make(chan struct{})}
}

func (l *localMember) get() (state.Member, Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member, l.status
}

// setAdvert replaces the advert and raises its version, and reports whether it differed.
func (l *localMember) setAdvert(advert state.Advert) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	advert.Version = l.member.Advert.Version
	if l.member.Advert == advert {
		return false
	}
	advert.Version++
	l.member.Advert = advert
	return true
}

// leave sets the status to Left under a new incarnation, and returns a channel
// that is closed once enough members have acknowledged it.
func (l *localMember) leave() (leaveAcked <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.status != Left {
		l.status = Left
		l.member.Incarnation++
	}
	return l.leaveAcked
}

// refute raises the incarnation above that of a claim which contradicts the
// local member, and reports whether that was necessary.
func (l *localMember) refute(claim Update) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if claim.Member.Incarnation < l.member.Incarnation {
		return false
	}
	if claim.Member.Incarnation == l.member.Incarnation && claim.Status <= l.status {
		return false
	}
	l.member.Incarnation = claim.Member.Incarnation + 1
	return true
}

// countLeaveAck counts an Ack to a Ping that announced the departure; needed
// bounds the required number, for clusters smaller than enoughLeaveAcks.
func (l *localMember) countLeaveAck(needed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.status != Left {
		return
	}
	l.leaveAcks++
	if l.leaveAcks == min(needed, enoughLeaveAcks) {
		close(l.leaveAcked)
	}
}
