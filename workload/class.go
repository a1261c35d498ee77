package workload

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Class is a class of requests; it decides which job a request submits and how its
// outcome is checked.
type Class uint8

// The classes of requests.
const (
	// Small is an idempotent job of one member.
	Small Class = iota
	// Large is a job whose members form a gang on adjacent racks.
	Large
	// Urgent is a job of one member with the highest urgency.
	Urgent
	// NeverRuns is a job that fits on no worker and must be refused.
	NeverRuns
	// NonIdempotent is a job that must run at most once; it is submitted again after
	// it ran.
	NonIdempotent
	// CancelWave is a group of long jobs that are accepted and then cancelled together.
	CancelWave
	classes
)

var classNames = [classes]string{"small", "large", "urgent", "neverRuns", "nonIdempotent", "cancelWave"}

// String returns the name of the class in a mix.
func (c Class) String() string { return classNames[c] }

// Mix holds the relative number of requests of each class.
type Mix [classes]int

// ParseMix parses a mix such as "small=8,large=1". Classes that are not named get no
// requests.
func ParseMix(text string) (m Mix, err error) {
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		class, known := classNamed(name)
		if !known {
			return m, errors.Errorf("unknown class %q; the classes are %s", name, strings.Join(classNames[:], ", "))
		}
		count, err := strconv.Atoi(number)
		if err != nil || count < 0 {
			return m, errors.Errorf("%q is not of the form class=count, as in small=8", part)
		}
		m[class] = count
	}
	if m.total() == 0 {
		return m, errors.Errorf("%q contains no requests; give at least one class a count above 0", text)
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

// classAt maps a number from 0 to below the total to a class, in proportion to the mix.
func (m Mix) classAt(number int) Class {
	for c, count := range m {
		if number < count {
			return Class(c)
		}
		number -= count
	}
	return Small
}
