package state

import (
	"sync"
	"testing"
)

func TestTable(t *testing.T) {
	tests := []struct {
		name string
		act  func(table *Table[string, int])
		want int
		len  int
	}{
		{"put then get", func(x *Table[string, int]) { x.Put("a", 1) }, 1, 1},
		{"second new value is refused", func(x *Table[string, int]) { x.PutNew("a", 1); x.PutNew("a", 2) }, 1, 1},
		{"deleted", func(x *Table[string, int]) { x.Put("a", 1); x.Delete("a") }, 0, 0},
		{"updated away", func(x *Table[string, int]) {
			x.Put("a", 1)
			x.Update("a", func(int, bool) (int, bool) { return 0, false })
		}, 0, 0},
		{"updated by many goroutines", func(x *Table[string, int]) {
			var all sync.WaitGroup
			for range 8 {
				all.Go(func() { x.Update("a", func(v int, _ bool) (int, bool) { return v + 1, true }) })
			}
			all.Wait()
		}, 8, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable[string, int]()
			tt.act(table)
			if got, _ := table.Get("a"); got != tt.want || table.Len() != tt.len {
				t.Errorf("value %d, length %d; want %d, %d", got, table.Len(), tt.want, tt.len)
			}
		})
	}
}

func TestBoundedTableStaysBounded(t *testing.T) {
	const limit = 64
	table := NewBoundedTable[int, int](limit)
	for i := range 100 * limit {
		table.Put(i, i)
		if got, found := table.Get(i); !found || got != i {
			t.Fatalf("the newest value %d was displaced", i)
		}
	}
	if table.Len() > limit {
		t.Errorf("%d values, want at most %d", table.Len(), limit)
	}
}
