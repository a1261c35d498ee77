package membership

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	// Ping asks for an Ack with the same sequence.
	Ping Kind = iota + 1
	// Ack answers a Ping or, forwarded, a PingRequest.
	Ack
	// PingRequest asks the receiver to ping Target and to forward the Ack.
	PingRequest
	// Push carries updates and expects no answer.
	Push
	// Compare carries the filter of the sender's live members, to find differences.
	Compare
	// Page answers a Compare whose filter differs, with updates that the other
	// side lacks and the filter of the answering member.
	Page
	// Complement answers a Page with the updates that its sender lacks.
	Complement
)

// Status is the state of a member; for the same incarnation the higher status
// overrides the lower one.
type Status uint8

// The member statuses.
const (
	// Alive members answer probes and may hold roles.
	Alive Status = iota + 1
	// Suspect members failed a probe; they keep their roles until they are declared dead.
	Suspect
	// Dead members did not refute a suspicion in time; they are not live.
	Dead
	// Left members announced their departure; they are not live.
	Left
)

// String returns the status as one lower-case word.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Update is a claim about the status and advert of one member.
type Update struct {
	Member state.Member
	Status Status
	// Age is how long ago the member was first suspected; 0 for other statuses.
	Age time.Duration
}

// Message is what one member sends to another in a datagram.
type Message struct {
	Kind Kind
	// Sequence matches an Ack to its Ping, and is the salt of a Filter.
	Sequence uint32
	// Unknown is set on an Ack if its sender does not know the member that pinged it.
	Unknown bool
	// Target is the gossip address that a PingRequest asks about.
	Target netip.AddrPort
	// Filter is set on a Compare and a Page.
	Filter  Filter
	Updates []Update
}

// Event is a membership event that is counted.
type Event string

// The counted events.
const (
	EventJoined       Event = "joined"
	EventSuspected    Event = "suspected"
	EventCleared      Event = "cleared"
	EventDied         Event = "died"
	EventLeft         Event = "left"
	EventReturned     Event = "returned"
	EventRefuted      Event = "refuted"
	EventDeclaredDead Event = "declaredDead"
	EventResumed      Event = "resumedAfterPause"
	EventForgotten    Event = "forgotten"
	EventAskedHelpers Event = "askedHelpers"
	EventPushLimited  Event = "pushLimited"
	EventTableFull    Event = "tableFull"
	EventBadUpdate    Event = "badUpdate"
	EventForeignClaim Event = "foreignClaim"
)
