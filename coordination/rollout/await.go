package rollout

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// awaitInterval is the time between two rounds of questions to the entries.
const awaitInterval = 100 * time.Millisecond

// Progress is which entries have a generation, or a higher one, in force.
type Progress struct {
	Generation state.Generation
	Reached    []netip.AddrPort
	// Behind are the entries that answered with an older generation.
	Behind []netip.AddrPort
	// Unreachable are the entries that did not answer the last question.
	Unreachable []netip.AddrPort
}

// Complete reports whether every entry has the generation in force.
func (p Progress) Complete() bool {
	return len(p.Behind) == 0 && len(p.Unreachable) == 0
}

// Await polls the entries until each has the generation in force or ctx is done,
// and returns the progress; ask returns what an entry has in force.
func Await(ctx context.Context, generation state.Generation, entries []netip.AddrPort, ask func(ctx context.Context, entry netip.AddrPort) (ManifestID, error)) Progress {
	progress := Progress{Generation: generation}
	for {
		round := askAll(ctx, generation, entries, ask)
		progress.Reached = append(progress.Reached, round.Reached...)
		progress.Behind, progress.Unreachable = round.Behind, round.Unreachable
		entries = slices.Concat(round.Behind, round.Unreachable)
		if progress.Complete() || ctx.Err() != nil {
			return progress
		}
		pause.For(ctx, awaitInterval)
	}
}

// askAll asks all entries once, concurrently.
func askAll(ctx context.Context, generation state.Generation, entries []netip.AddrPort, ask func(context.Context, netip.AddrPort) (ManifestID, error)) Progress {
	answers := make([]ManifestID, len(entries))
	failures := make([]error, len(entries))
	var group sync.WaitGroup
	for i, entry := range entries {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answers[i], failures[i] = ask(ctx, entry)
		})
	}
	group.Wait()
	var progress Progress
	for i, entry := range entries {
		switch {
		case failures[i] != nil:
			progress.Unreachable = append(progress.Unreachable, entry)
		case answers[i].Generation < generation:
			progress.Behind = append(progress.Behind, entry)
		default:
			progress.Reached = append(progress.Reached, entry)
		}
	}
	return progress
}
