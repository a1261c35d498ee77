package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"comfreystream/coordination/membership"
	"comfreystream/state"
	"comfreystream/transport"
)

const (
	maxUpdates   = 16
	maxZoneBytes = 64
	maxAge       = time.Minute
	maxNesting   = 4
	maxMapPairs  = 32
)

// wireMessage is a membership.Message as it travels.
type wireMessage struct {
	Kind     membership.Kind `cbor:"1,keyasint"`
	Sequence uint32          `cbor:"2,keyasint,omitempty"`
	Unknown  bool            `cbor:"3,keyasint,omitempty"`
	Target   netip.AddrPort  `cbor:"4,keyasint,omitzero"`
	Filter   []byte          `cbor:"5,keyasint,omitempty"`
	Updates  []wireUpdate    `cbor:"6,keyasint,omitempty"`
}

// wireUpdate is a membership.Update as it travels; ages are in milliseconds.
type wireUpdate struct {
	Address     netip.AddrPort    `cbor:"1,keyasint"`
	Gossip      netip.AddrPort    `cbor:"2,keyasint"`
	Zone        string            `cbor:"3,keyasint"`
	Incarnation state.Incarnation `cbor:"4,keyasint"`
	Status      membership.Status `cbor:"5,keyasint"`
	Generation  state.Generation  `cbor:"6,keyasint,omitempty"`
	Digest      uint64            `cbor:"7,keyasint,omitempty"`
	Age         uint64            `cbor:"8,keyasint,omitempty"`
	Version     uint32            `cbor:"9,keyasint,omitempty"`
}

// The reasons for which a received datagram is dropped.
const (
	Malformed   = "malformed"
	UnknownKind = "unknownKind"
	BadAddress  = "badAddress"
	BadUpdate   = "badUpdate"
)

// Reasons lists every reason that an Endpoint can count.
var Reasons = append([]string{Malformed, UnknownKind, BadAddress, BadUpdate}, transport.DatagramReasons...)

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxUpdates,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(message membership.Message) ([]byte, error) {
	w := wireMessage{
		Kind:     message.Kind,
		Sequence: message.Sequence,
		Unknown:  message.Unknown,
		Target:   message.Target,
	}
	if message.Kind == membership.Compare || message.Kind == membership.Page {
		w.Filter = message.Filter[:]
	}
	for _, u := range message.Updates {
		w.Updates = append(w.Updates, encodeUpdate(u))
	}
	return cbor.Marshal(w)
}

func encodeUpdate(u membership.Update) wireUpdate {
	return wireUpdate{
		Address:     u.Member.Address,
		Gossip:      u.Member.Gossip,
		Zone:        u.Member.AvailabilityZone,
		Incarnation: u.Member.Incarnation,
		Status:      u.Status,
		Version:     u.Member.Advert.Version,
		Generation:  u.Member.Advert.Generation,
		Digest:      u.Member.Advert.Digest,
		Age:         uint64(max(u.Age, 0) / time.Millisecond),
	}
}

// decode returns the message, or the reason for which it is dropped.
func decode(payload []byte) (message membership.Message, reason string) {
	var w wireMessage
	if err := decoding.Unmarshal(payload, &w); err != nil {
		return message, Malformed
	}
	message = membership.Message{Kind: w.Kind, Sequence: w.Sequence, Unknown: w.Unknown, Target: w.Target}
	if w.Kind < membership.Ping || w.Kind > membership.Complement {
		return message, UnknownKind
	}
	if w.Kind == membership.PingRequest && !reachable(w.Target) {
		return message, BadAddress
	}
	if len(w.Filter) != 0 && len(w.Filter) != len(message.Filter) {
		return message, Malformed
	}
	copy(message.Filter[:], w.Filter)
	for i := range w.Updates {
		u, reason := decodeUpdate(&w.Updates[i])
		if reason != "" {
			return message, reason
		}
		message.Updates = append(message.Updates, u)
	}
	return message, ""
}

func decodeUpdate(w *wireUpdate) (u membership.Update, reason string) {
	if !reachable(w.Address) || !reachable(w.Gossip) {
		return u, BadAddress
	}
	if w.Zone == "" || len(w.Zone) > maxZoneBytes || w.Status < membership.Alive || w.Status > membership.Left {
		return u, BadUpdate
	}
	if w.Age > uint64(maxAge/time.Millisecond) {
		return u, BadUpdate
	}
	return membership.Update{
		Member: state.Member{
			Address:          w.Address,
			Gossip:           w.Gossip,
			AvailabilityZone: w.Zone,
			Incarnation:      w.Incarnation,
			Advert:           state.Advert{Version: w.Version, Generation: w.Generation, Digest: w.Digest},
		},
		Status: w.Status,
		Age:    time.Duration(w.Age) * time.Millisecond,
	}, ""
}

// reachable refuses addresses that no datagram can go to, and those with a
// name in them.
func reachable(address netip.AddrPort) bool {
	ip := address.Addr()
	return ip.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && address.Port() != 0
}
