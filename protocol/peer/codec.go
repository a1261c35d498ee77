package peer

import (
	"github.com/fxamacker/cbor/v2"
)

// Bounds of one message, so that a peer cannot make a decoder grow without end.
const (
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
)

// codec is connect's codec for CBOR (RFC 8949).
type codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

var messageCodec = newCodec()

// newCodec drops the errors of the two modes: they only speak of options,
// which are constant here.
func newCodec() codec {
	encode, _ := cbor.EncOptions{}.EncMode()
	decode, _ := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
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
func (c codec) Unmarshal(text []byte, message any) error { return c.decode.Unmarshal(text, message) }
