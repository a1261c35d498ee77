package membership

import (
	"time"

	"comfreystream/state"
)

// record is what this member knows of another one.
type record struct {
	member state.Member
	status Status
	// since is when the status began here.
	since time.Time
	// expires is when a suspect is declared dead.
	expires time.Time
}

func (r *record) usable() bool {
	return r.status == Alive || r.status == Suspect
}

// retention returns how long the record is kept without news.
func (r *record) retention() time.Duration {
	if r.status == Left {
		return leftRetention
	}
	return deadRetention
}

// supersedes reports whether the update is newer than the record.
func (u *Update) supersedes(r *record) bool {
	if u.Member.Incarnation != r.member.Incarnation {
		return u.Member.Incarnation > r.member.Incarnation
	}
	return u.Status > r.status
}

// readvertises reports whether the update says nothing newer than the record
// but for the advert.
func (u *Update) readvertises(r *record) bool {
	return !u.supersedes(r) && u.Member.Incarnation == r.member.Incarnation &&
		u.Member.Advert.Version > r.member.Advert.Version
}

// change says what an update altered in the view.
type change struct {
	// accepted is set if the update was newer than what was known.
	accepted bool
	// status is set if the member's status changed or the member is new.
	status bool
	// live is set if the set of live members, or the incarnation of one, changed.
	live bool
	// advert is set if the member's advert changed.
	advert bool
	event  Event
}

// merge returns the record after the update, and what that changed.
func merge(old record, found bool, u Update, now time.Time, patience time.Duration) (record, change) {
	if !found && u.Status == Dead {
		return old, change{}
	}
	if found && u.readvertises(&old) {
		old.member.Advert = u.Member.Advert
		return old, change{accepted: true, advert: old.usable()}
	}
	if found && !u.supersedes(&old) {
		return hastened(old, u, now, patience), change{}
	}
	next := record{member: u.Member, status: u.Status, since: now}
	if found && old.member.Incarnation == u.Member.Incarnation && old.member.Advert.Version > u.Member.Advert.Version {
		next.member.Advert = old.member.Advert
	}
	if u.Status == Suspect {
		next.expires = expiry(u, now, patience)
	}
	if found && old.status == u.Status {
		next.since = old.since
	}
	advert := !found || old.member.Advert != next.member.Advert
	renewed := found && next.usable() && old.member.Incarnation != u.Member.Incarnation
	return next, change{
		accepted: true,
		status:   !found || old.status != u.Status,
		live:     (found && old.usable()) != next.usable() || renewed,
		advert:   advert && next.usable(),
		event:    eventOf(old.status, u.Status),
	}
}

// hastened takes the earlier expiry of two suspicions of one incarnation.
func hastened(old record, u Update, now time.Time, patience time.Duration) record {
	same := old.member.Incarnation == u.Member.Incarnation
	if !same || old.status != Suspect || u.Status != Suspect {
		return old
	}
	if other := expiry(u, now, patience); other.Before(old.expires) {
		old.expires = other
	}
	return old
}

func expiry(u Update, now time.Time, patience time.Duration) time.Time {
	return now.Add(max(patience-u.Age, minRefutation))
}

// eventOf names the change between two statuses; the first is 0 if the member is new.
func eventOf(old, next Status) Event {
	switch {
	case next == Left:
		return EventLeft
	case next == Dead:
		return EventDied
	case next == Suspect:
		return EventSuspected
	case old == Suspect:
		return EventCleared
	case old == 0:
		return EventJoined
	default:
		return EventReturned
	}
}
