package interference

import (
	"cmp"
	"slices"
	"strconv"

	"comfreystream/state/workflow"
)

// Kind names work that behaves alike: by its image if it has one, else by queue and shape.
type Kind struct {
	Image, Queue string
	// Cores is in thousandths of a core.
	Cores, MemoryMiB, Accelerators int
}

// KindOf returns the kind of a step's tasks.
func KindOf(queue string, s *workflow.Step) Kind {
	if s.Image != "" {
		return Kind{Image: s.Image}
	}
	return Kind{Queue: queue, Cores: s.Cores, MemoryMiB: s.MemoryMiB, Accelerators: s.Accelerators}
}

// Compare orders kinds.
func (k Kind) Compare(other Kind) int {
	return cmp.Or(cmp.Compare(k.Image, other.Image), cmp.Compare(k.Queue, other.Queue), cmp.Compare(k.Cores, other.Cores),
		cmp.Compare(k.MemoryMiB, other.MemoryMiB), cmp.Compare(k.Accelerators, other.Accelerators))
}

// Beside returns the kinds of a task's neighbours, each once and in order. The argument
// holds the kinds of all tasks on the worker in order, its own among them.
func (k Kind) Beside(all []Kind) []Kind {
	i, found := slices.BinarySearchFunc(all, k, Kind.Compare)
	others := slices.Clone(all)
	if found {
		others = slices.Delete(others, i, i+1)
	}
	return slices.Compact(others)
}

// difference returns the only kind that is in one of two ordered lists and not in the
// other, and whether it is in the first.
func difference(a, b []Kind) (only Kind, inFirst, found bool) {
	for len(a) > 0 || len(b) > 0 {
		if len(a) > 0 && len(b) > 0 && a[0] == b[0] {
			a, b = a[1:], b[1:]
			continue
		}
		if found {
			return Kind{}, false, false
		}
		found = true
		if inFirst = len(b) == 0 || len(a) > 0 && a[0].Compare(b[0]) < 0; inFirst {
			only, a = a[0], a[1:]
		} else {
			only, b = b[0], b[1:]
		}
	}
	return only, inFirst, found
}

// String returns the image, or the queue and the shape as QUEUE/CORES/MEMORY/ACCELERATORS
// with cores in thousandths and memory in MiB.
func (k Kind) String() string {
	if k.Image != "" {
		return k.Image
	}
	return k.Queue + "/" + strconv.Itoa(k.Cores) + "/" + strconv.Itoa(k.MemoryMiB) + "/" + strconv.Itoa(k.Accelerators)
}
