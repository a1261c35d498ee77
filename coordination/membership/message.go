package membership

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// Kind says what a message asks for.
type Kind uint8

// The kinds of message.
const (
	// Ping asks for an Ack with the same sequence.
	Ping Kind = iota + 1
	// Ack answers a Ping or, forwarded, a PingRequest.
	Ack
	// PingRequest asks the receiver to ping Target and to forward its Ack.
	PingRequest
	// Push carries updates alone.
	Push
	// Compare carries the digest of the sender's table.
	Compare
	// Page answers a Compare that differs, with updates and the answerer's filter.
	Page
	// Complement answers a Page with what that side lacks.
	Complement
)

// Status is what is said of a member; of two about the same incarnation the
// higher one holds.
type Status uint8

// The statuses of a member.
const (
	// Alive members hold roles.
	Alive Status = iota + 1
	// Suspect members failed a probe; they hold roles until they are declared dead.
	Suspect
	// Dead members are out of use.
	Dead
	// Left members announced that they leave; they are out of use.
	Left
)

// String returns the status in one word.
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

// Update is one piece of news about a member.
type Update struct {
	Member state.Member
	Status Status
	// Age is how long ago the member was first suspected; 0 for other statuses.
	Age time.Duration
}

// Message is what one member sends to another in a datagram.
type Message struct {
	Kind Kind
	// Sequence ties an Ack to its Ping, and is the salt of a Filter.
	Sequence uint32
	// Unknown is set on an Ack to a sender that the receiver does not know.
	Unknown bool
	// Target is the gossip address that a PingRequest asks about.
	Target netip.AddrPort
	// Filter is set on a Compare and a Page.
	Filter  Filter
	Updates []Update
}

// Event names what a member counts.
type Event string

// The events that are counted.
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
