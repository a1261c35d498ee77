package record

import (
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/ledger"
	"comfreystream/state"
)

type segmentRecord struct {
	Items []itemRecord `cbor:"1,keyasint"`
}

// itemRecord holds either a Job or, once the job has ended, an Outcome; both are
// encoded by this package.
type itemRecord struct {
	ID                string    `cbor:"1,keyasint"`
	Job               []byte    `cbor:"2,keyasint,omitempty"`
	Ended             time.Time `cbor:"3,keyasint,omitzero"`
	Outcome           []byte    `cbor:"4,keyasint,omitempty"`
	HasSeparateAnswer bool      `cbor:"5,keyasint,omitempty"`
}

// SegmentCodec returns the codec for segments of saved jobs in the store.
func SegmentCodec() ledger.Codec {
	return ledger.Codec{EncodeSegment: encodeSegment, DecodeSegment: decodeSegment}
}

func encodeSegment(segment ledger.Segment) ([]byte, error) {
	r := segmentRecord{Items: make([]itemRecord, len(segment.Items))}
	for i := range segment.Items {
		item, err := encodeItem(&segment.Items[i])
		if err != nil {
			return nil, err
		}
		r.Items[i] = item
	}
	data, err := encMode.Marshal(r)
	return data, errors.Wrap(err, "encode segment")
}

func encodeItem(item *ledger.Item) (r itemRecord, err error) {
	r = itemRecord{ID: string(item.ID), Ended: item.Ended, HasSeparateAnswer: item.HasSeparateAnswer}
	if item.Job != nil {
		r.Job, err = EncodeJob(item.Job)
		return r, err
	}
	r.Outcome, err = EncodeOutcome(&item.Outcome)
	return r, err
}

func decodeSegment(data []byte) (segment ledger.Segment, err error) {
	var r segmentRecord
	if err := decMode.Unmarshal(data, &r); err != nil {
		return ledger.Segment{}, errors.Wrap(err, "decode segment")
	}
	segment.Items = make([]ledger.Item, len(r.Items))
	for i := range r.Items {
		if segment.Items[i], err = decodeItem(&r.Items[i]); err != nil {
			return ledger.Segment{}, err
		}
	}
	return segment, nil
}

func decodeItem(r *itemRecord) (item ledger.Item, err error) {
	item = ledger.Item{ID: state.JobID(r.ID), Ended: r.Ended, HasSeparateAnswer: r.HasSeparateAnswer}
	if r.Job == nil {
		item.Outcome, err = DecodeOutcome(r.Outcome)
		return item, err
	}
	job, err := DecodeJob(r.Job)
	item.Job = &job
	return item, err
}
