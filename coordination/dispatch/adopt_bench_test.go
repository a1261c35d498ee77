package dispatch_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"comfreystream/coordination/admission"
	"comfreystream/coordination/dispatch"
	"comfreystream/coordination/estimate"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/quarantine"
	"comfreystream/coordination/retry"
	"comfreystream/state"
)

// BenchmarkAdopt measures the live heap and processor time of a new planner that
// takes over a zone from full reports. Racks have 8 workers, gangs 16.
func BenchmarkAdopt(b *testing.B) {
	for _, size := range []struct{ workers, leases int }{{128, 0}, {1248, 0}, {128, 27}, {1248, 27}} {
		b.Run(fmt.Sprintf("workers=%d/leases=%d", size.workers, size.leases), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				before := liveHeap()
				d := emptyDispatcher()
				reports := fullReports(size.workers, size.leases)
				b.StartTimer()
				for _, r := range reports {
					if reply, err := d.Report(r); err != nil || reply.Resend {
						b.Fatal(reply, err)
					}
				}
				b.StopTimer()
				clear(reports)
				b.ReportMetric(float64(liveHeap()-before), "heapBytes")
				if jobs := d.CountJobs()[state.JobRunning]; jobs != size.workers/16*size.leases {
					b.Fatalf("%d jobs were adopted", jobs)
				}
				runtime.KeepAlive(d)
				b.StartTimer()
			}
		})
	}
}

func emptyDispatcher() *dispatch.Dispatcher {
	d := dispatch.New(planning.New(zoneName))
	d.Estimates = estimate.New()
	d.RetryBudgets = retry.New(retry.DefaultSettings(), time.Now, func() float64 { return 0.5 })
	d.Quarantine = quarantine.New(time.Now, func(netip.AddrPort, bool) {})
	d.Admission = admission.New(admission.DefaultSettings(), time.Now, func(state.Reason) {})
	return d
}

// fullReports returns the full report of each rack, with the given number of
// leases on each worker, each of a different gang.
func fullReports(workers, leases int) (reports []state.RackReport) {
	const perRack, perGang = 8, 16
	for first := 0; first < workers; first += perRack {
		rack := state.Rack{Name: fmt.Sprint("r", first/perRack), AvailabilityZone: zoneName, Position: first / perRack}
		report := state.RackReport{Rack: rack, Home: homeAddress, Sequence: 1, Full: true}
		for n := first; n < first+perRack; n++ {
			part := state.WorkerReport{Listed: true, Worker: state.Worker{
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7070),
				Rack:     rack,
				Capacity: state.Resources{Slots: 32, Accelerators: 32, Cores: 128, MemoryBytes: 1 << 38},
			}}
			for i := range leases {
				job := state.Job{
					ID:           state.NewJobID(zoneName, fmt.Sprintf("%016x", n/perGang*leases+i)),
					Organisation: "north", Kind: "reset", Members: perGang, Shape: state.Resources{Slots: 1, Accelerators: 1},
					Urgency: state.Normal, Idempotent: true, DeclaredRunTime: time.Hour, Payload: make([]byte, 200),
				}
				part.Tasks = append(part.Tasks, state.Task{
					Phase: state.TaskRunning, Started: true, Job: job,
					Lease: state.Lease{
						ID: state.LeaseID(i), Token: 1, Worker: part.Worker.Address, Job: job.ID,
						Attempt: 1, Members: 1, Expires: time.Now().Add(time.Hour),
					},
				})
			}
			report.Workers = append(report.Workers, part)
		}
		reports = append(reports, report)
	}
	return reports
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
