package peer

import (
	"github.com/fxamacker/cbor/v2"
)

// Limits on one message, so that a peer cannot make the decoder allocate
// without bound.
const (
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
	// maxPlannerElements is the limit of arrays that a PlannerService accepts. An element
	// of one byte takes 64 once decoded, and a change of the store has 32.
	maxPlannerElements = 1 << 10
)

// codec implements connect.Codec for CBOR (RFC 8949).
type codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

var (
	messageCodec = newCodec(maxArrayElements)
	plannerCodec = newCodec(maxPlannerElements)
)

// newCodec ignores the errors of EncMode and DecMode, which report invalid
// options only; the options are constant here.
func newCodec(arrayElements int) codec {
	encode, _ := cbor.EncOptions{}.EncMode()
	decode, _ := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: arrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	return codec{encode: encode, decode: decode}
}

// Name implements connect.Codec.
func (codec) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (c codec) Marshal(message any) ([]byte, error) { return c.encode.Marshal(message) }

// Unmarshal implements connect.Codec.
func (c codec) Unmarshal(data []byte, message any) error { return c.decode.Unmarshal(data, message) }
