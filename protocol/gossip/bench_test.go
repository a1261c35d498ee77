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
	// settleTime is the virtual time after which all members know each other and
	// their updates have reached all.
	settleTime = time.Minute
	// rolloutInterval is the time between two manifests at 2,400 changes a day.
	rolloutInterval = 36 * time.Second
	// restartInterval is the time between two restarts at 1,300 a day.
	restartInterval = 66 * time.Second
	// measuredTime is the virtual time over which traffic is measured.
	measuredTime = 4 * rolloutInterval
)

var fleets = []struct{ members, zones int }{{8, 4}, {32, 4}, {128, 6}}

// BenchmarkTraffic measures what a member sends in an idle fleet, in one with a
// new manifest every 36 s, and in one with a restart every 66 s as well.
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
		f.run(settleTime)
		if missing := f.countMissing(); missing > 0 {
			b.Fatalf("%d members are missing from the views of others", missing)
		}
		f.traffic()
		if rollouts {
			f.repeat(rolloutInterval, measuredTime, func(i int) { f.rollOut(state.Generation(i + 1)) })
		}
		if restarts {
			f.repeat(restartInterval, measuredTime, func(int) { f.restart(f.nodes[f.random.IntN(members)]) })
		}
		f.run(measuredTime)
		m, n := f.traffic()
		messages, bytes = messages+m, bytes+n
	}
	seconds := measuredTime.Seconds() * float64(members*b.N)
	b.ReportMetric(float64(messages)/seconds, "messages/s")
	b.ReportMetric(float64(bytes)/seconds, "sentB/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLoss measures, while a fraction of all messages is lost, how often a
// live member is declared dead and for how long.
func BenchmarkLoss(b *testing.B) {
	const span = 10 * time.Minute
	for _, loss := range []float64{0.01, 0.1, 0.3} {
		b.Run(fmt.Sprintf("members=32/loss=%v", loss), func(b *testing.B) {
			var outages []time.Duration
			refuted := 0
			for run := range b.N {
				f := newFleet(32, 4, uint64(run))
				f.run(settleTime)
				f.loss = loss
				for _, n := range f.nodes {
					n.Count = func(e membership.Event) {
						if e == membership.EventRefuted {
							refuted++
						}
					}
					n.onChange = f.outageRecorder(&outages)
				}
				f.run(span)
			}
			hours := span.Hours() * float64(32*b.N)
			b.ReportMetric(float64(refuted)/hours, "refutations/h")
			b.ReportMetric(float64(len(outages))/hours, "falseDeaths/h")
			reportQuantiles(b, outages, "out")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// outageRecorder returns an onChange hook that records how long other members of
// the zone were missing from the live members in a member's view.
func (f *fleet) outageRecorder(outages *[]time.Duration) func(*fleetNode) {
	outSince := make(map[netip.AddrPort]time.Time)
	return func(n *fleetNode) {
		live := make(map[netip.AddrPort]bool)
		for _, member := range n.LiveIn(n.zone) {
			live[member.Gossip] = true
		}
		for _, other := range f.nodes {
			since, out := outSince[other.gossip]
			switch {
			case other.zone != n.zone || live[other.gossip] == !out:
			case out:
				delete(outSince, other.gossip)
				*outages = append(*outages, f.now.Sub(since))
			default:
				outSince[other.gossip] = f.now
			}
		}
	}
}

// BenchmarkStart starts all members at once and measures the bytes that each
// sends in the first ten seconds, and the time until every member knows all others.
func BenchmarkStart(b *testing.B) {
	const step = 100 * time.Millisecond
	for _, size := range fleets {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			bytes := 0
			var discovery []time.Duration
			for run := range b.N {
				f := newFleet(size.members, size.zones, uint64(run))
				began := f.now
				f.after(10*time.Second, func() {
					_, sent := f.traffic()
					bytes += sent
				})
				for f.countMissing() > 0 {
					f.run(step)
				}
				discovery = append(discovery, f.now.Sub(began))
				f.run(10 * time.Second)
			}
			b.ReportMetric(float64(bytes)/float64(10*size.members*b.N), "sentB/s")
			reportQuantiles(b, discovery, "met")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkProcessor runs members over loopback in real time and measures the
// CPU time of the process per member, system calls included.
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
		before := cpuTime()
		<-time.After(10 * time.Second)
		spent += cpuTime() - before
	}
	b.ReportMetric(100*spent.Seconds()/(10*float64(b.N)*members), "%core/node")
	b.ReportMetric(0, "ns/op")
}

func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// rollOut has each member advertise the generation at a random time within the
// next second.
func (f *fleet) rollOut(generation state.Generation) {
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() {
			n.SetAdvert(state.Advert{Generation: generation, Digest: uint64(generation) * 0x9e3779b97f4a7c15})
		})
	}
}

// BenchmarkDetection measures, over seeded runs, the time from a member's stop
// until each other member removes it from its live members.
func BenchmarkDetection(b *testing.B) {
	for _, size := range fleets {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			var inZone, otherZones []time.Duration
			for run := range b.N {
				inZoneTimes, otherTimes := measureDetection(size.members, size.zones, uint64(run))
				inZone, otherZones = append(inZone, inZoneTimes...), append(otherZones, otherTimes...)
			}
			reportQuantiles(b, inZone, "zone")
			reportQuantiles(b, otherZones, "far")
			b.ReportMetric(0, "ns/op")
		})
	}
}

const detectionTimeout = 15 * time.Second

// measureDetection stops one member and returns how long each other member took
// to remove it from its live members, at most detectionTimeout.
func measureDetection(members, zones int, seed uint64) (inZone, otherZones []time.Duration) {
	f := newFleet(members, zones, seed)
	f.run(settleTime + time.Duration(f.random.Int64N(int64(2*time.Second))))
	stoppedNode := f.nodes[f.random.IntN(members)]
	stoppedNode.stopped = true
	stoppedAt := f.now
	for _, n := range f.nodes {
		if n == stoppedNode {
			continue
		}
		removedAfter := detectionTimeout
		n.onChange = func(n *fleetNode) {
			if removedAfter == detectionTimeout && !slices.ContainsFunc(n.LiveIn(stoppedNode.zone), func(m state.Member) bool { return m.Gossip == stoppedNode.gossip }) {
				removedAfter = f.now.Sub(stoppedAt)
			}
		}
		defer func() {
			if n.zone == stoppedNode.zone {
				inZone = append(inZone, removedAfter)
				return
			}
			otherZones = append(otherZones, removedAfter)
		}()
	}
	f.run(detectionTimeout)
	return inZone, otherZones
}

func reportQuantiles(b *testing.B, times []time.Duration, name string) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "s-"+name+"-p50")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "s-"+name+"-p99")
	b.ReportMetric(times[len(times)-1].Seconds(), "s-"+name+"-max")
}
