package record

import (
	"github.com/pkg/errors"

	"comfreystream/coordination/claim"
	"comfreystream/state"
)

// claimRecord has an Outcome once the job has ended.
type claimRecord struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	Holder       string `cbor:"3,keyasint,omitempty"`
	WriteID      string `cbor:"4,keyasint,omitempty"`
	Outcome      []byte `cbor:"5,keyasint,omitempty"`
}

// ClaimCodec returns the codec for claims in the store.
func ClaimCodec() claim.Codec {
	return claim.Codec{Encode: encodeClaim, Decode: decodeClaim}
}

func encodeClaim(c claim.Record) ([]byte, error) {
	r := claimRecord{Organisation: c.Organisation, Key: c.Key, Holder: string(c.Holder), WriteID: string(c.TakeID)}
	if c.Ended {
		outcome, err := EncodeOutcome(&c.Outcome)
		if err != nil {
			return nil, err
		}
		r.Outcome = outcome
	}
	data, err := encMode.Marshal(r)
	return data, errors.Wrap(err, "encode claim")
}

func decodeClaim(data []byte) (claim.Record, error) {
	var r claimRecord
	if err := decMode.Unmarshal(data, &r); err != nil {
		return claim.Record{}, errors.Wrap(err, "decode claim")
	}
	c := claim.Record{Organisation: r.Organisation, Key: r.Key, Holder: state.JobID(r.Holder), TakeID: state.WriteID(r.WriteID)}
	if r.Outcome == nil {
		return c, nil
	}
	outcome, err := DecodeOutcome(r.Outcome)
	if err != nil {
		return claim.Record{}, err
	}
	c.Ended, c.Outcome = true, outcome
	return c, nil
}
