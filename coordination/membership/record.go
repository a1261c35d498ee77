package membership

import (
	"time"

	"comfreystream/state"
)

// record is what this member knows about another one.
type record struct {
	member state.Member
	status Status
	// since is when the status began in the local view.
	since time.Time
	// expires is when a suspect is declared dead.
	expires time.Time
}

// isLive reports whether the member may hold roles, which suspects still may.
func (r *record) isLive() bool {
	return r.status == Alive || r.status == Suspect
}

// retention returns how long the record of a member that is not live is kept.
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

// changesOnlyAdvert reports whether the advert is all that is newer in the
// update than in the record.
func (u *Update) changesOnlyAdvert(r *record) bool {
	return !u.supersedes(r) && u.Member.Incarnation == r.member.Incarnation &&
		u.Member.Advert.Version > r.member.Advert.Version
}

// change is what an update altered in the view.
type change struct {
	// accepted is set if the update was newer than the record.
	accepted bool
	// statusChanged is set if the status changed or the member is new.
	statusChanged bool
	// liveChanged is set if the set of live members or the incarnation of a live member changed.
	liveChanged bool
	// advertChanged is set if the advert of a live member changed.
	advertChanged bool
	event         Event
}

// mergeUpdate returns the record after the update and what changed. A death of
// an unknown member is ignored.
func mergeUpdate(old record, found bool, u Update, now time.Time, suspicionTimeout time.Duration) (record, change) {
	if !found && u.Status == Dead {
		return old, change{}
	}
	if found && u.changesOnlyAdvert(&old) {
		old.member.Advert = u.Member.Advert
		return old, change{accepted: true, advertChanged: old.isLive()}
	}
	if found && !u.supersedes(&old) {
		return withEarlierExpiry(old, u, now, suspicionTimeout), change{}
	}
	next := record{member: u.Member, status: u.Status, since: now}
	if found && old.member.Incarnation == u.Member.Incarnation && old.member.Advert.Version > u.Member.Advert.Version {
		next.member.Advert = old.member.Advert
	}
	if u.Status == Suspect {
		next.expires = suspicionExpiry(u, now, suspicionTimeout)
	}
	if found && old.status == u.Status {
		next.since = old.since
	}
	newAdvert := !found || old.member.Advert != next.member.Advert
	newIncarnation := found && next.isLive() && old.member.Incarnation != u.Member.Incarnation
	return next, change{
		accepted:      true,
		statusChanged: !found || old.status != u.Status,
		liveChanged:   (found && old.isLive()) != next.isLive() || newIncarnation,
		advertChanged: newAdvert && next.isLive(),
		event:         eventOf(old.status, u.Status),
	}
}

// withEarlierExpiry returns the record, with the expiry of the update if both
// suspect the same incarnation and the update's expiry is earlier.
func withEarlierExpiry(old record, u Update, now time.Time, suspicionTimeout time.Duration) record {
	same := old.member.Incarnation == u.Member.Incarnation
	if !same || old.status != Suspect || u.Status != Suspect {
		return old
	}
	if other := suspicionExpiry(u, now, suspicionTimeout); other.Before(old.expires) {
		old.expires = other
	}
	return old
}

// suspicionExpiry returns when the suspected member is declared dead.
func suspicionExpiry(u Update, now time.Time, suspicionTimeout time.Duration) time.Time {
	return now.Add(max(suspicionTimeout-u.Age, minSuspicion))
}

// eventOf returns the event for a change of status; old is 0 if the member is new.
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
