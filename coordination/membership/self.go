package membership

import (
	"sync"

	"comfreystream/state"
)

// heardLeaving is the number of acknowledgements after which the others
// count as told that this member leaves.
const heardLeaving = 3

// self is what a member tells of itself.
type self struct {
	mu     sync.Mutex
	member state.Member
	status Status
	heard  chan struct{}
	acks   int
}

func newSelf(member state.Member) *self {
	return &self{member: member, status: Alive, heard: make(chan struct{})}
}

func (s *self) get() (state.Member, Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member, s.status
}

func (s *self) setAdvert(advert state.Advert) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	advert.Version = s.member.Advert.Version
	if s.member.Advert == advert {
		return false
	}
	advert.Version++
	s.member.Advert = advert
	return true
}

func (s *self) leave() (heard <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != Left {
		s.status = Left
		s.member.Incarnation++
	}
	return s.heard
}

// refute raises the incarnation above a claim that contradicts this member,
// and reports whether it had to.
func (s *self) refute(claim Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if claim.Member.Incarnation < s.member.Incarnation {
		return false
	}
	if claim.Member.Incarnation == s.member.Incarnation && claim.Status <= s.status {
		return false
	}
	s.member.Incarnation = claim.Member.Incarnation + 1
	return true
}

// acknowledged counts an answer to a message that carried this member's own
// record; needed is the number that suffices.
func (s *self) acknowledged(needed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != Left {
		return
	}
	s.acks++
	if s.acks == min(needed, heardLeaving) {
		close(s.heard)
	}
}
