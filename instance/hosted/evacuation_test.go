package hosted

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
)

// TestEvacuationNotes applies several readings in a row. It guards against evacuations that
// get lost beside unusual keys, and against a line or a count for each reading.
func TestEvacuationNotes(t *testing.T) {
	key := func(zone string, revision keyvalue.Revision) keyvalue.Item {
		return keyvalue.Item{Key: "op/evacuate/" + zone, Value: []byte("{}"), Revision: revision}
	}
	type zones = map[string]bool
	many := []keyvalue.Item{}
	for i := range 100 {
		many = append(many, key(fmt.Sprintf("z%d", i), 1))
	}
	tests := []struct {
		name        string
		workerZones zones
		// readings are applied in turn, twice each.
		readings [][]keyvalue.Item
		want     zones
		counted  map[string]int
		lines    int
	}{
		{"none", zones{"a": true}, [][]keyvalue.Item{{}}, zones{}, nil, 0},
		{"a zone", zones{"a": true, "b": true}, [][]keyvalue.Item{{key("a", 1)}}, zones{"a": true}, nil, 1},
		{"a zone written twice", zones{"a": true, "b": true}, [][]keyvalue.Item{{key("a", 1)}, {key("a", 2)}}, zones{"a": true}, nil, 2},
		{"a zone beside unreadable keys", zones{"a": true, "b": true}, [][]keyvalue.Item{{key("", 1), key("a", 2), key("\x00", 3)}}, zones{"a": true}, map[string]int{"evacuationUnreadable": 2}, 3},
		{"an unknown zone", zones{"a": true}, [][]keyvalue.Item{{key("A", 1)}}, zones{"A": true}, map[string]int{"evacuatedZoneUnknown": 1}, 1},
		{"workers not known", nil, [][]keyvalue.Item{{key("a", 1)}}, zones{"a": true}, nil, 1},
		{"all zones", zones{"a": true, "b": true}, [][]keyvalue.Item{{key("a", 1), key("b", 2)}}, zones{"a": true, "b": true}, map[string]int{"allZonesEvacuated": 1}, 3},
		{"all zones, twice", zones{"a": true}, [][]keyvalue.Item{{key("a", 1)}, {}, {key("a", 2)}}, zones{"a": true}, map[string]int{"allZonesEvacuated": 2}, 4},
		{"many unknown zones", zones{"a": true}, [][]keyvalue.Item{many}, nil, map[string]int{"evacuatedZoneUnknown": 100}, maxEvacuationLines},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counted, lines := make(map[string]int), lineCounter(0)
			n := evacuationNotes{log: zerolog.New(&lines), count: func(event string) { counted[event]++ }}
			var got zones
			for _, items := range test.readings {
				for range 2 {
					got = n.apply(items, 9, &test.workerZones)
				}
			}
			if test.want != nil && !maps.Equal(got, test.want) {
				t.Errorf("zones %v, want %v", got, test.want)
			}
			if !maps.Equal(counted, test.counted) {
				t.Errorf("counted %v, want %v", counted, test.counted)
			}
			if int(lines) != test.lines {
				t.Errorf("%d lines, want %d", lines, test.lines)
			}
		})
	}
}

type lineCounter int

func (c *lineCounter) Write(line []byte) (int, error) {
	*c++
	return len(line), nil
}

// TestEvacuationAge guards against a limit that would leave no time for a reading.
func TestEvacuationAge(t *testing.T) {
	tests := []struct{ limit, want time.Duration }{
		{0, 0},
		{5 * time.Second, 3700 * time.Millisecond},
		{time.Second, time.Second},
	}
	for _, test := range tests {
		if got := evacuationAge(test.limit); got != test.want {
			t.Errorf("age %v with the limit %v, want %v", got, test.limit, test.want)
		}
	}
}
