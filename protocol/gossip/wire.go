package gossip

import (
	"comfreystream/coordination/membership"
	"comfreystream/state"
	"comfreystream/transport"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	maxUpdates   = 16
	maxZoneBytes = 64
	maxAge       = time.Minute
	maxNesting   = 4
	maxMapPairs  = 32
	digestBytes  = len(membership.Digest{}) * 4
)

// wireMessage is a membership.Message as it travels.
type wireMessage struct {
	Kind     membership.Kind `cbor:"1,keyasint"`
	Sequence uint32          `cbor:"2,keyasint,omitempty"`
	Unknown  bool            `cbor:"3,keyasint,omitempty"`
	Target   netip.AddrPort  `cbor:"4,keyasint,omitzero"`
	Digest   []byte          `cbor:"5,keyasint,omitempty"`
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
		w.Digest = encodeDigest(message.Digest)
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
		Generation:  u.Member.Advert.Generation,
		Digest:      u.Member.Advert.Digest,
		Age:         uint64(max(u.Age, 0) / time.Millisecond),
	}
}

func encodeDigest(digest membership.Digest) []byte {
	encoded := make([]byte, 0, digestBytes)
	for _, bucket := range digest {
		encoded = binary.BigEndian.AppendUint32(encoded, bucket)
	}
	return encoded
}

// decode returns the message, or the reason for which it is dropped.
func decode(payload []byte) (message membership.Message, reason string) {
	var w wireMessage
	if err := decoding.Unmarshal(payload, &w); err != nil {
		return message, Malformed
	}
	message = membership.Message{Kind: w.Kind, Sequence: w.Sequence, Unknown: w.Unknown, Target: w.Target}
	if w.Kind < membership.Ping || w.Kind > membership.Page {
		return message, UnknownKind
	}
	if w.Kind == membership.PingRequest && !reachable(w.Target) {
		return message, BadAddress
	}
	var err error
	if message.Digest, err = decodeDigest(w.Digest); err != nil {
		return message, Malformed
	}
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
			Advert:           state.Advert{Generation: w.Generation, Digest: w.Digest},
		},
		Status: w.Status,
		Age:    time.Duration(w.Age) * time.Millisecond,
	}, ""
}

func decodeDigest(encoded []byte) (digest membership.Digest, err error) {
	if len(encoded) == 0 {
		return digest, nil
	}
	if len(encoded) != digestBytes {
		return digest, errors.Errorf("a digest has %d bytes, not %d", len(encoded), digestBytes)
	}
	for i := range digest {
		digest[i] = binary.BigEndian.Uint32(encoded[4*i:])
	}
	return digest, nil
}

// reachable refuses addresses that no datagram can go to, and those with a
// name in them.
func reachable(address netip.AddrPort) bool {
	ip := address.Addr()
	return ip.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && address.Port() != 0
}
