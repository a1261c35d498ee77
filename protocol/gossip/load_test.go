package gossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"comfreystream/coordination/membership"
	"comfreystream/state"
)

const (
	// settled is the virtual time after which all members have met and their news has travelled.
	settled = time.Minute
	// rollout is the time between two manifests at 2,400 changes a day.
	rollout = 36 * time.Second
	// restart is the time between two restarts at 1,300 a day.
	restart = 66 * time.Second
	// measured is the virtual time over which traffic is counted.
	measured = 4 * rollout
)

var fleets = []struct{ members, zones int }{{8, 4}, {32, 4}, {128, 6}}

// BenchmarkTraffic measures what a member sends in a quiet fleet, with a
// manifest every 36 s, and with restarts as well.
func BenchmarkTraffic(b *testing.B) {
	loads := []struct {
		name               string
		rollouts, restarts bool
	}{{"quiet", false, false}, {"rollouts", true, false}, {"day", true, true}}
	for _, size := range fleets {
		for _, load := range loads {
			b.Run(fmt.Sprintf("members=%d/%s", size.members, load.name), func(b *testing.B) {
				measureTraffic(b, size.members, size.zones, load.rollouts, load.restarts)
			})
		}
	}
}

func measureTraffic(b *testing.B, members, zones int, rollouts, restarts bool) {
	var messages, bytes int
	for run := range b.N {
		f := newFleet(members, zones, uint64(run))
		f.run(settled)
		if missing := f.strangers(); missing > 0 {
			b.Fatalf("%d pairs have not met", missing)
		}
		f.traffic()
		if rollouts {
			f.every(rollout, measured, func(i int) { f.adopt(state.Generation(i + 1)) })
		}
		if restarts {
			f.every(restart, measured, func(int) { f.restart(f.nodes[f.random.IntN(members)]) })
		}
		f.run(measured)
		m, n := f.traffic()
		messages, bytes = messages+m, bytes+n
	}
	seconds := measured.Seconds() * float64(members*b.N)
	b.ReportMetric(float64(messages)/seconds, "messages/s")
	b.ReportMetric(float64(bytes)/seconds, "sentB/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLoss measures, while a part of all messages is lost, how often a
// live member is taken out of use and for how long.
func BenchmarkLoss(b *testing.B) {
	const span = 10 * time.Minute
	for _, loss := range []float64{0.01, 0.1, 0.3} {
		b.Run(fmt.Sprintf("members=32/loss=%v", loss), func(b *testing.B) {
			var outages []time.Duration
			refuted := 0
			for run := range b.N {
				f := newFleet(32, 4, uint64(run))
				f.run(settled)
				f.loss = loss
				for _, n := range f.nodes {
					n.Count = func(e membership.Event) {
						if e == membership.EventRefuted {
							refuted++
						}
					}
					n.onChange = f.outageMeter(&outages)
				}
				f.run(span)
			}
			hours := span.Hours() * float64(32*b.N)
			b.ReportMetric(float64(refuted)/hours, "refutations/h")
			b.ReportMetric(float64(len(outages))/hours, "falseDeaths/h")
			report(b, outages, "out")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// outageMeter returns a hook that notes how long live members of the zone
// were out of use in a member's view.
func (f *fleet) outageMeter(outages *[]time.Duration) func(*fleetNode) {
	gone := make(map[netip.AddrPort]time.Time)
	return func(n *fleetNode) {
		live := make(map[netip.AddrPort]bool)
		for _, member := range n.LiveIn(n.zone) {
			live[member.Gossip] = true
		}
		for _, other := range f.nodes {
			began, out := gone[other.gossip]
			switch {
			case other.zone != n.zone || live[other.gossip] == !out:
			case out:
				delete(gone, other.gossip)
				*outages = append(*outages, f.now.Sub(began))
			default:
				gone[other.gossip] = f.now
			}
		}
	}
}

// BenchmarkStart measures members that all start at once: the bytes that each
// sends in the first ten seconds, and the time until all know all.
func BenchmarkStart(b *testing.B) {
	const step = 100 * time.Millisecond
	for _, size := range fleets {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			bytes := 0
			var met []time.Duration
			for run := range b.N {
				f := newFleet(size.members, size.zones, uint64(run))
				began := f.now
				f.after(10*time.Second, func() {
					_, sent := f.traffic()
					bytes += sent
				})
				for f.strangers() > 0 {
					f.run(step)
				}
				met = append(met, f.now.Sub(began))
				f.run(10 * time.Second)
			}
			b.ReportMetric(float64(bytes)/float64(10*size.members*b.N), "sentB/s")
			report(b, met, "met")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkProcessor runs real members over loopback and measures the
// processor time of the whole process for each, system calls included.
func BenchmarkProcessor(b *testing.B) {
	const members = 32
	var seeds []netip.AddrPort
	changed := make(chan struct{}, 1)
	for i := range members {
		_, endpoint, stop := startEntry(b, fmt.Sprint("z", i%4), seeds, changed)
		defer stop()
		seeds = append(seeds, endpoint.Address())[:min(i+1, 3)]
	}
	<-time.After(10 * time.Second)
	var spent time.Duration
	for b.Loop() {
		before := processorTime()
		<-time.After(10 * time.Second)
		spent += processorTime() - before
	}
	b.ReportMetric(100*spent.Seconds()/(10*float64(b.N)*members), "%core/node")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// adopt lets each member put the generation in force within the next second.
func (f *fleet) adopt(generation state.Generation) {
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() {
			n.SetAdvert(state.Advert{Generation: generation, Digest: uint64(generation) * 0x9e3779b97f4a7c15})
		})
	}
}

// BenchmarkDetection measures, over seeded runs, the time from an entry's
// stop until it is out of use at each other entry of its zone.
func BenchmarkDetection(b *testing.B) {
	for _, size := range fleets {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			var inZone, elsewhere []time.Duration
			for run := range b.N {
				near, far := detect(size.members, size.zones, uint64(run))
				inZone, elsewhere = append(inZone, near...), append(elsewhere, far...)
			}
			report(b, inZone, "zone")
			report(b, elsewhere, "far")
			b.ReportMetric(0, "ns/op")
		})
	}
}

const detectLimit = 15 * time.Second

// detect stops one member and returns when each other one had it out of use.
func detect(members, zones int, seed uint64) (inZone, elsewhere []time.Duration) {
	f := newFleet(members, zones, seed)
	f.run(settled + time.Duration(f.random.Int64N(int64(2*time.Second))))
	gone := f.nodes[f.random.IntN(members)]
	gone.stopped = true
	stopped := f.now
	for _, n := range f.nodes {
		if n == gone {
			continue
		}
		seen := detectLimit
		n.onChange = func(n *fleetNode) {
			if seen == detectLimit && !slices.ContainsFunc(n.LiveIn(gone.zone), func(m state.Member) bool { return m.Gossip == gone.gossip }) {
				seen = f.now.Sub(stopped)
			}
		}
		defer func() {
			if n.zone == gone.zone {
				inZone = append(inZone, seen)
				return
			}
			elsewhere = append(elsewhere, seen)
		}()
	}
	f.run(detectLimit)
	return inZone, elsewhere
}

func report(b *testing.B, times []time.Duration, name string) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "s-"+name+"-p50")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "s-"+name+"-p99")
	b.ReportMetric(times[len(times)-1].Seconds(), "s-"+name+"-max")
}
