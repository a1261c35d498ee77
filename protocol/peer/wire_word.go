package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/state"
)

// The enumerations on the wire; a value beyond the last is refused.
type (
	wireAdjacency state.Adjacency
	wireUrgency   state.Urgency
	wireRan       state.Ran
	wireJobPhase  state.JobPhase
	wireTaskPhase state.TaskPhase
)

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireAdjacency) UnmarshalCBOR(text []byte) error {
	return decodeUpTo(text, w, wireAdjacency(state.SameRack))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireUrgency) UnmarshalCBOR(text []byte) error {
	return decodeUpTo(text, w, wireUrgency(state.Urgent))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireRan) UnmarshalCBOR(text []byte) error {
	return decodeUpTo(text, w, wireRan(state.Unknown))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireJobPhase) UnmarshalCBOR(text []byte) error {
	return decodeUpTo(text, w, wireJobPhase(state.JobDone))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (w *wireTaskPhase) UnmarshalCBOR(text []byte) error {
	return decodeUpTo(text, w, wireTaskPhase(state.TaskStopped))
}

func decodeUpTo[Word ~uint8](text []byte, into *Word, last Word) error {
	var value uint8
	if err := cbor.Unmarshal(text, &value); err != nil {
		return errors.Wrap(err, "decode an enumeration")
	}
	if value > uint8(last) {
		return errors.Errorf("decode an enumeration: %d is above %d", value, last)
	}
	*into = Word(value)
	return nil
}
