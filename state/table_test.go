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
		{"put then get", func(table *Table[string, int]) { table.Put("a", 1) }, 1, 1},
		{"second new value is refused", func(table *Table[string, int]) { table.PutNew("a", 1); table.PutNew("a", 2) }, 1, 1},
		{"deleted", func(table *Table[string, int]) { table.Put("a", 1); table.Delete("a") }, 0, 0},
		{"removed by Update", func(table *Table[string, int]) {
			table.Put("a", 1)
			table.Update("a", func(int, bool) (int, bool) { return 0, false })
		}, 0, 0},
		{"updated by many goroutines", func(table *Table[string, int]) {
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() { table.Update("a", func(v int, _ bool) (int, bool) { return v + 1, true }) })
			}
			wg.Wait()
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

func TestBoundedTableKeepsLimit(t *testing.T) {
	const limit = 64
	table := NewBoundedTable[int, int](limit)
	for i := range 100 * limit {
		table.Put(i, i)
		if got, found := table.Get(i); !found || got != i {
			t.Fatalf("the newest value %d was evicted", i)
		}
	}
	if table.Len() > limit {
		t.Errorf("%d values, want at most %d", table.Len(), limit)
	}
}
