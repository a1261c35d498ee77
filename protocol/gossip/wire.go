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
	maxUpdates      = 16
	maxZoneBytes    = 64
	maxAge          = time.Minute // of a suspicion
	maxNestedLevels = 4
	maxMapPairs     = 32
)

// wireMessage is the encoding of a membership.Message.
type wireMessage struct {
	Kind     membership.Kind `cbor:"1,keyasint"`
	Sequence uint32          `cbor:"2,keyasint,omitempty"`
	Unknown  bool            `cbor:"3,keyasint,omitempty"`
	Target   netip.AddrPort  `cbor:"4,keyasint,omitzero"`
	Filter   []byte          `cbor:"5,keyasint,omitempty"`
	Updates  []wireUpdate    `cbor:"6,keyasint,omitempty"`
}

// wireUpdate is the encoding of a membership.Update; Age is in milliseconds.
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

// Reasons for which a received datagram is dropped. Malformed also counts a
// message that could not be encoded for sending.
const (
	Malformed   = "malformed"
	UnknownKind = "unknownKind"
	BadAddress  = "badAddress"
	BadUpdate   = "badUpdate"
)

// Reasons lists all reasons that an Endpoint passes to its count function.
var Reasons = append([]string{Malformed, UnknownKind, BadAddress, BadUpdate}, transport.DatagramReasons...)

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
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

// decode returns the message, or the reason to drop the datagram.
func decode(payload []byte) (message membership.Message, reason string) {
	var w wireMessage
	if err := decMode.Unmarshal(payload, &w); err != nil {
		return message, Malformed
	}
	message = membership.Message{Kind: w.Kind, Sequence: w.Sequence, Unknown: w.Unknown, Target: w.Target}
	if w.Kind < membership.Ping || w.Kind > membership.Complement {
		return message, UnknownKind
	}
	if w.Kind == membership.PingRequest && !isReachable(w.Target) {
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
	if !isReachable(w.Address) || !isReachable(w.Gossip) {
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

// isReachable reports whether a datagram can be sent to the address; addresses
// with an IPv6 zone name are refused, since it means nothing on another host.
func isReachable(address netip.AddrPort) bool {
	ip := address.Addr()
	return ip.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && address.Port() != 0
}
