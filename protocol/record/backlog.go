package record

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/coordination/backlog"
)

// The record of the waiting jobs is a map from names to whole numbers, which entries of all
// versions read. A name is that of a queue, for its number of jobs, or begins with
// figurePrefix, which no queue's name does: for the time of the figures, or one of the two
// waits of a class.
const (
	figurePrefix = "\x00"
	timeName     = figurePrefix + "at"
	inTimePrefix = figurePrefix + "inTime/"
	latePrefix   = figurePrefix + "late/"
)

// EncodePending returns the encoded record of the waiting jobs.
func EncodePending(figures backlog.Figures) ([]byte, error) {
	numbers := make(map[string]int64, len(figures.Pending)+2*len(figures.Waits)+1)
	for queue, count := range figures.Pending {
		numbers[queue] = int64(count)
	}
	for i := range figures.Waits {
		w := &figures.Waits[i]
		numbers[timeName] = figures.At.UnixMilli()
		numbers[inTimePrefix+className(w)] = w.InTime.Milliseconds()
		numbers[latePrefix+className(w)] = w.Late.Milliseconds()
	}
	data, err := cbor.Marshal(numbers)
	return data, errors.Wrap(err, "encode waiting jobs")
}

// className returns what names a class in a record; the service comes last, as it may
// contain any character.
func className(w *backlog.Wait) string {
	return fmt.Sprintf("%d/%d/%d/%d/%s", w.Priority, w.Member, w.Total, w.Objective.Milliseconds(), w.Service)
}

// DecodePending returns the waiting jobs in a record. Figures that it does not know or
// cannot read are left out: they refuse no job, and the numbers of jobs remain.
func DecodePending(data []byte) (backlog.Figures, error) {
	var numbers map[string]int64
	if err := cbor.Unmarshal(data, &numbers); err != nil {
		return backlog.Figures{}, errors.Wrap(err, "decode waiting jobs")
	}
	figures := backlog.Figures{Pending: make(map[string]int, len(numbers))}
	for name, number := range numbers {
		class, isWait := strings.CutPrefix(name, latePrefix)
		switch {
		case isWait:
			if w, known := parseClass(class); known {
				w.InTime, w.Late = milliseconds(numbers[inTimePrefix+class]), milliseconds(number)
				figures.Waits = append(figures.Waits, w)
			}
		case name == timeName:
			figures.At = time.UnixMilli(number)
		case !strings.HasPrefix(name, figurePrefix):
			figures.Pending[name] = int(number)
		}
	}
	return figures, nil
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func parseClass(name string) (w backlog.Wait, known bool) {
	parts := strings.SplitN(name, "/", 5)
	if len(parts) != 5 {
		return w, false
	}
	var objective int
	for i, value := range []*int{&w.Priority, &w.Member, &w.Total, &objective} {
		number, err := strconv.Atoi(parts[i])
		if err != nil || number < 0 {
			return w, false
		}
		*value = number
	}
	w.Objective, w.Service = milliseconds(int64(objective)), parts[4]
	return w, w.Member > 0 && w.Total > 0
}
