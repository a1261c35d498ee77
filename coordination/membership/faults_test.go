package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state"
)

const (
	// outOfUse is the time within which a stopped entry is out of use in its zone.
	outOfUse = 3 * time.Second
	// atOnce is the time within which an entry that leaves is out of use in its
	// zone; it is below what the probes alone would take.
	atOnce = 400 * time.Millisecond
	// joinBound is the time within which entries that start together know each other.
	joinBound = 10 * time.Second
	// meetBound is the time within which views agree after a fault ended.
	meetBound = 20 * time.Second
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

func wantOutOfUse(t *testing.T, nodes []*node, gone *node) {
	t.Helper()
	for _, n := range inZone(without(nodes, gone), gone.zone) {
		if n.uses(gone) {
			t.Errorf("entry %d still uses entry %d of its zone", n.index, gone.index)
		}
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		loss  float64
		fault func(t *testing.T, l *link, nodes []*node) (left []*node)
	}{
		{"an entry stops", 8, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			l.kill(nodes[5])
			<-time.After(outOfUse)
			wantOutOfUse(t, nodes, nodes[5])
			return without(nodes, nodes[5])
		}},
		{"an entry of 32 stops", 32, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			l.kill(nodes[5])
			<-time.After(outOfUse)
			wantOutOfUse(t, nodes, nodes[5])
			return without(nodes, nodes[5])
		}},
		{"an entry is paused and returns", 8, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			resume := l.pause(nodes[5])
			defer resume()
			<-time.After(outOfUse)
			wantOutOfUse(t, nodes, nodes[5])
			<-time.After(30 * time.Second)
			l.watchZone(nodes[5:6])
			resume()
			if nodes[5].Fresh() {
				t.Error("a paused entry counts as fresh before it hears from its zone")
			}
			<-time.After(meetBound)
			l.wantWholeZone(t, nodes[5:6])
			return nodes
		}},
		{"a zone is cut off and heals", 16, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			l.setCut(func(from, to *node) bool { return (from.zone == "z2") != (to.zone == "z2") })
			l.watchZone(nodes)
			<-time.After(time.Minute)
			wantMeet(t, inZone(nodes, "z2"))
			l.setCut(func(_, _ *node) bool { return false })
			<-time.After(meetBound)
			l.wantWholeZone(t, nodes)
			return nodes
		}},
		{"30% of the messages are lost", 16, 0.3, func(_ *testing.T, _ *link, nodes []*node) []*node {
			<-time.After(time.Minute)
			return nodes
		}},
		{"an entry restarts at the same address", 8, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			l.kill(nodes[5])
			<-time.After(100 * time.Millisecond)
			nodes[5] = l.start(t, 5, nodes[5].zone)
			return nodes
		}},
		{"an entry leaves", 8, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			if err := nodes[5].Leave(t.Context()); err != nil {
				t.Fatal(err)
			}
			wantOutOfUse(t, nodes, nodes[5])
			l.kill(nodes[5])
			return without(nodes, nodes[5])
		}},
		{"an entry of 32 leaves", 32, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			left := time.Now()
			go func() { _ = nodes[5].Leave(t.Context()) }()
			<-time.After(atOnce - time.Since(left))
			wantOutOfUse(t, nodes, nodes[5])
			l.kill(nodes[5])
			return without(nodes, nodes[5])
		}},
		{"all entries are replaced one after another", 8, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			for i := range nodes {
				l.kill(nodes[i])
				nodes[i] = l.start(t, 8+i, nodes[i].zone)
				<-time.After(5 * time.Second)
			}
			return nodes
		}},
		{"each entry adopts a manifest", 16, 0, func(t *testing.T, _ *link, nodes []*node) []*node {
			for _, n := range nodes {
				n.SetAdvert(state.Advert{Generation: 7})
			}
			<-time.After(meetBound)
			for _, n := range nodes {
				for _, member := range n.LiveIn(n.zone) {
					if member.Advert.Generation != 7 {
						t.Errorf("entry %d has generation %d for %v", n.index, member.Advert.Generation, member.Address)
					}
				}
			}
			return nodes
		}},
		{"one way between two entries of a zone is cut", 8, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			l.setCut(func(from, to *node) bool { return from == nodes[1] && to == nodes[5] })
			<-time.After(time.Minute)
			wantMeet(t, nodes)
			return nodes
		}},
		{"one way between two zones is cut", 16, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			l.setCut(func(from, to *node) bool { return from.zone == "z1" && to.zone == "z3" })
			<-time.After(time.Minute)
			wantMeet(t, nodes)
			return nodes
		}},
		{"half of a zone stops at once", 32, 0, func(t *testing.T, l *link, nodes []*node) []*node {
			left := nodes
			for _, gone := range inZone(nodes, "z0")[:4] {
				l.kill(gone)
				left = without(left, gone)
			}
			<-time.After(outOfUse)
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
				l := newLink(uint64(i))
				defer l.stopAll()
				nodes := startAll(t, l, tt.nodes)
				l.setLoss(tt.loss)
				left := tt.fault(t, l, nodes)
				l.setLoss(0)
				<-time.After(meetBound)
				wantMeet(t, left)
				for _, n := range left {
					if !n.Fresh() {
						t.Errorf("entry %d is not fresh", n.index)
					}
				}
			})
		})
	}
}
