package workload

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Class is a kind of request.
type Class uint8

// The classes of requests.
const (
	// Small is an idempotent job of one member.
	Small Class = iota
	// Large is a gang on adjacent racks.
	Large
	// Urgent is a job of one member that must start at once.
	Urgent
	// NeverRuns is larger than any worker and must be refused.
	NeverRuns
	// NonIdempotent is sent a second time after its answer, and must not run again.
	NonIdempotent
	// CancelWave is a number of long jobs that are all cancelled at once.
	CancelWave
	classes
)

var classNames = [classes]string{"small", "large", "urgent", "neverRuns", "nonIdempotent", "cancelWave"}

// String returns the class as it is written in a mix.
func (c Class) String() string { return classNames[c] }

// Mix is how many of each class there are among the requests, in proportion.
type Mix [classes]int

// ParseMix reads a mix such as "small=8,large=1"; a class that it leaves out
// gets no requests.
func ParseMix(text string) (m Mix, err error) {
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		class, known := classNamed(name)
		if !known {
			return m, errors.Errorf("%q is not a class; the classes are %s", name, strings.Join(classNames[:], ", "))
		}
		count, err := strconv.Atoi(number)
		if err != nil || count < 0 {
			return m, errors.Errorf("%q is not a class and its share, as in small=8", part)
		}
		m[class] = count
	}
	if m.total() == 0 {
		return m, errors.Errorf("%q asks for no requests; give at least one class a share above 0", text)
	}
	return m, nil
}

func classNamed(name string) (Class, bool) {
	for c, known := range classNames {
		if known == name {
			return Class(c), true
		}
	}
	return 0, false
}

func (m Mix) total() (total int) {
	for _, count := range m {
		total += count
	}
	return total
}

// pick returns the class that covers the number, which is below the total.
func (m Mix) pick(number int) Class {
	for c, count := range m {
		if number < count {
			return Class(c)
		}
		number -= count
	}
	return Small
}
