package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/state"
)

// Enumerations in messages; decoding rejects values above the last defined one.
type (
	wireAdjacency state.Adjacency
	wireUrgency   state.Urgency
	wireRan       state.Ran
	wireJobPhase  state.JobPhase
	wireTaskPhase state.TaskPhase
)

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireAdjacency) UnmarshalCBOR(data []byte) error {
	return decodeEnum(data, w, wireAdjacency(state.SameRack))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireUrgency) UnmarshalCBOR(data []byte) error {
	return decodeEnum(data, w, wireUrgency(state.Urgent))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireRan) UnmarshalCBOR(data []byte) error {
	return decodeEnum(data, w, wireRan(state.OutcomeUnknown))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireJobPhase) UnmarshalCBOR(data []byte) error {
	return decodeEnum(data, w, wireJobPhase(state.JobDone))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireTaskPhase) UnmarshalCBOR(data []byte) error {
	return decodeEnum(data, w, wireTaskPhase(state.TaskStopped))
}

func decodeEnum[Enum ~uint8](data []byte, target *Enum, last Enum) error {
	var value uint8
	if err := cbor.Unmarshal(data, &value); err != nil {
		return errors.Wrap(err, "decode enumeration")
	}
	if value > uint8(last) {
		return errors.Errorf("decode enumeration: value %d exceeds the maximum %d", value, last)
	}
	*target = Enum(value)
	return nil
}
