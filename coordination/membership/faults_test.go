package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state"
)

const (
	// detectionBound is the time within which the entries of its zone declare a stopped entry dead.
	detectionBound = 3 * time.Second
	// leaveBound is the time within which the entries of its zone know that an
	// entry left; detection by probes takes longer.
	leaveBound = 400 * time.Millisecond
	// joinBound is the time within which entries that start together know one another.
	joinBound = 10 * time.Second
	// convergenceBound is the time within which all views agree after a fault.
	convergenceBound = 20 * time.Second
)

func without(nodes []*node, gone *node) (rest []*node) {
	for _, n := range nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	return rest
}

func inZone(nodes []*node, zone string) (found []*node) {
	for _, n := range nodes {
		if n.zone == zone {
			found = append(found, n)
		}
	}
	return found
}

func wantNotLive(t *testing.T, nodes []*node, gone *node) {
	t.Helper()
	for _, n := range inZone(without(nodes, gone), gone.zone) {
		if n.hasLive(gone) {
			t.Errorf("entry %d still has entry %d of its zone as live", n.index, gone.index)
		}
	}
}

// TestFaults checks after each fault that the views of all remaining entries
// agree and are fresh.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		loss  float64
		fault func(t *testing.T, s *simNetwork, nodes []*node) (left []*node)
	}{
		{"an entry stops", 8, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			s.kill(nodes[5])
			<-time.After(detectionBound)
			wantNotLive(t, nodes, nodes[5])
			return without(nodes, nodes[5])
		}},
		{"an entry of 32 stops", 32, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			s.kill(nodes[5])
			<-time.After(detectionBound)
			wantNotLive(t, nodes, nodes[5])
			return without(nodes, nodes[5])
		}},
		{"an entry is paused and resumes", 8, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			resume := s.pause(nodes[5])
			defer resume()
			<-time.After(detectionBound)
			wantNotLive(t, nodes, nodes[5])
			<-time.After(30 * time.Second)
			s.startZoneWatch(nodes[5:6])
			resume()
			if nodes[5].Fresh() {
				t.Error("a paused entry is fresh before it has received an Ack from its zone")
			}
			<-time.After(convergenceBound)
			s.wantZoneNeverShrank(t, nodes[5:6])
			return nodes
		}},
		{"a zone is partitioned and heals", 16, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			s.setCut(func(from, to *node) bool { return (from.zone == "z2") != (to.zone == "z2") })
			s.startZoneWatch(nodes)
			<-time.After(time.Minute)
			wantSameMembers(t, inZone(nodes, "z2"))
			s.setCut(func(_, _ *node) bool { return false })
			<-time.After(convergenceBound)
			s.wantZoneNeverShrank(t, nodes)
			return nodes
		}},
		{"30% of the messages are lost", 16, 0.3, func(_ *testing.T, _ *simNetwork, nodes []*node) []*node {
			<-time.After(time.Minute)
			return nodes
		}},
		{"an entry restarts at the same address", 8, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			s.kill(nodes[5])
			<-time.After(100 * time.Millisecond)
			nodes[5] = s.start(t, 5, nodes[5].zone)
			return nodes
		}},
		{"an entry leaves", 8, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			if err := nodes[5].Leave(t.Context()); err != nil {
				t.Fatal(err)
			}
			wantNotLive(t, nodes, nodes[5])
			s.kill(nodes[5])
			return without(nodes, nodes[5])
		}},
		{"an entry of 32 leaves", 32, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			left := time.Now()
			go func() { _ = nodes[5].Leave(t.Context()) }()
			<-time.After(leaveBound - time.Since(left))
			wantNotLive(t, nodes, nodes[5])
			s.kill(nodes[5])
			return without(nodes, nodes[5])
		}},
		{"all entries are replaced one after another", 8, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			for i := range nodes {
				s.kill(nodes[i])
				nodes[i] = s.start(t, 8+i, nodes[i].zone)
				<-time.After(5 * time.Second)
			}
			return nodes
		}},
		{"each entry advertises a manifest", 16, 0, func(t *testing.T, _ *simNetwork, nodes []*node) []*node {
			for _, n := range nodes {
				n.SetAdvert(state.Advert{Generation: 7})
			}
			<-time.After(convergenceBound)
			for _, n := range nodes {
				for _, member := range n.LiveIn(n.zone) {
					if member.Advert.Generation != 7 {
						t.Errorf("entry %d has generation %d for %v", n.index, member.Advert.Generation, member.Address)
					}
				}
			}
			return nodes
		}},
		{"messages from one entry to another of its zone are lost", 8, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			s.setCut(func(from, to *node) bool { return from == nodes[1] && to == nodes[5] })
			<-time.After(time.Minute)
			wantSameMembers(t, nodes)
			return nodes
		}},
		{"messages from one zone to another are lost", 16, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			s.setCut(func(from, to *node) bool { return from.zone == "z1" && to.zone == "z3" })
			<-time.After(time.Minute)
			wantSameMembers(t, nodes)
			return nodes
		}},
		{"half of a zone stops at once", 32, 0, func(t *testing.T, s *simNetwork, nodes []*node) []*node {
			left := nodes
			for _, gone := range inZone(nodes, "z0")[:4] {
				s.kill(gone)
				left = without(left, gone)
			}
			<-time.After(detectionBound)
			for _, n := range inZone(left, "z0") {
				if live := len(n.LiveIn("z0")); live != 4 {
					t.Errorf("entry %d has %d live members in its zone, want 4", n.index, live)
				}
			}
			return left
		}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimNetwork(uint64(i))
				defer s.stopAll()
				nodes := startAll(t, s, tt.nodes)
				s.setLoss(tt.loss)
				left := tt.fault(t, s, nodes)
				s.setLoss(0)
				<-time.After(convergenceBound)
				wantSameMembers(t, left)
				for _, n := range left {
					if !n.Fresh() {
						t.Errorf("entry %d is not fresh", n.index)
					}
				}
			})
		})
	}
}
