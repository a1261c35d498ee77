package claim_test

import (
	"context"
	"fmt"
	"testing"

	"comfreystream/coordination/claim"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/record"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// BenchmarkClaim reports the store calls needed to take and settle one job's claim.
func BenchmarkClaim(b *testing.B) {
	platform := standin.New()
	defer platform.Close()
	s := storage.New(store.WithWriteIDs(platform.Operations()), 1e9)
	claims := claim.New(s, record.ClaimCodec())
	b.ReportAllocs()
	jobs := 0
	for b.Loop() {
		jobs++
		job := &state.Job{ID: state.JobID(fmt.Sprint("z.", jobs)), Organisation: "org", Key: fmt.Sprint(jobs), Members: 1}
		if result, err := claims.Take(context.Background(), job); err != nil || result.State != claim.Fresh {
			b.Fatal(result, err)
		}
		if err := claims.Settle(context.Background(), job, state.Outcome{Job: job.ID, Ran: state.RanToCompletion}); err != nil {
			b.Fatal(err)
		}
	}
	calls := s.Sent(storage.ForClaim) + s.Sent(storage.ForLease)
	b.ReportMetric(float64(calls)/float64(jobs), "calls/job")
}
