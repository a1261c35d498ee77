package record

import (
	"github.com/pkg/errors"

	"comfreystream/state"
)

type outcomeRecord struct {
	Job     string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint,omitempty"`
	Ran     uint8  `cbor:"3,keyasint"`
	Reason  string `cbor:"4,keyasint,omitempty"`
	Retry   bool   `cbor:"5,keyasint,omitempty"`
	Answer  []byte `cbor:"6,keyasint,omitempty"`
}

// EncodeOutcome returns the encoded outcome without its Holder; DecodeOutcome reads it.
func EncodeOutcome(outcome *state.Outcome) ([]byte, error) {
	data, err := encMode.Marshal(outcomeRecord{
		Job: string(outcome.Job), Attempt: uint32(outcome.Attempt), Ran: uint8(outcome.Ran),
		Reason: string(outcome.Reason), Retry: outcome.Retry, Answer: outcome.Answer,
	})
	return data, errors.Wrap(err, "encode outcome")
}

// DecodeOutcome returns the outcome that EncodeOutcome encoded; it fails on any other data.
func DecodeOutcome(data []byte) (state.Outcome, error) {
	var r outcomeRecord
	if err := decMode.Unmarshal(data, &r); err != nil {
		return state.Outcome{}, errors.Wrap(err, "decode outcome")
	}
	if r.Job == "" || r.Ran > uint8(state.OutcomeUnknown) {
		return state.Outcome{}, errors.New("decode outcome: job ID missing or unknown value of ran")
	}
	return state.Outcome{
		Job: state.JobID(r.Job), Attempt: state.Attempt(r.Attempt), Ran: state.Ran(r.Ran),
		Reason: state.Reason(r.Reason), Retry: r.Retry, Answer: r.Answer,
	}, nil
}
