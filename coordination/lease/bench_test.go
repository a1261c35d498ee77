package lease_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"comfreystream/coordination/lease"
	"comfreystream/state"
)

// BenchmarkMemory reports the live heap and the stacks of a keeper that manages
// racks of eight workers, while every worker's renewal is pending.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ workers, leases int }{{160, 0}, {1280, 0}, {160, 27}, {1280, 27}} {
		b.Run(fmt.Sprintf("workers=%d/leases=%d", size.workers, size.leases), func(b *testing.B) {
			for b.Loop() {
				before := liveBytes()
				k, listed := pendingKeeper(size.leases)
				k.SetWorkers(workersInRacks(size.workers))
				for range size.workers {
					<-listed
				}
				b.ReportMetric(float64(liveBytes()-before), "liveBytes")
				if err := k.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// pendingKeeper returns a keeper whose workers list their leases in the first
// renewal and leave later ones pending; listed receives a value for each worker
// whose second renewal has begun.
func pendingKeeper(leases int) (*lease.Keeper, <-chan struct{}) {
	k := lease.New(netip.MustParseAddrPort("127.0.0.1:1"))
	listed := make(chan struct{}, 1)
	var mu sync.Mutex
	seen := make(map[netip.AddrPort]bool)
	k.Report = func(context.Context, state.RackReport) (state.ReportReply, error) { return state.ReportReply{}, nil }
	k.Workers.Attach = func(context.Context, netip.AddrPort) (state.Token, error) { return 1, nil }
	k.Workers.Renew = func(ctx context.Context, worker netip.AddrPort, _ state.RenewRequest) (state.RenewReply, error) {
		mu.Lock()
		first := !seen[worker]
		seen[worker] = true
		mu.Unlock()
		if !first {
			listed <- struct{}{}
			<-ctx.Done()
			return state.RenewReply{}, ctx.Err()
		}
		return renewReply(worker, leases), nil
	}
	return k, listed
}

func renewReply(worker netip.AddrPort, leases int) state.RenewReply {
	reply := state.RenewReply{Version: 1, Worker: state.Worker{Address: worker, Capacity: capacity}}
	for i := range leases {
		id := state.NewJobID("z", fmt.Sprintf("%016x", i))
		reply.Changed = append(reply.Changed, state.Task{
			Phase: state.TaskRunning, Started: true,
			Lease: state.Lease{Token: 1, Worker: worker, Job: id, Attempt: 1, Members: 1, Expires: time.Now()},
			Job:   state.Job{ID: id, Organisation: "north", Members: 16, Payload: make([]byte, 200)},
		})
	}
	return reply
}

func workersInRacks(count int) (workers []state.Worker) {
	const perRack = 8
	for n := range count {
		workers = append(workers, state.Worker{
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7070),
			Rack:     state.Rack{Name: fmt.Sprint("r", n/perRack), AvailabilityZone: "z", Position: n / perRack},
			Capacity: capacity,
		})
	}
	return workers
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
