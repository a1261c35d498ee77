package logs

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// EventField is the log key of an event's name, as in event=jobStarted.
const EventField = "event"

// timeFormat is RFC 3339 with milliseconds, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of the level or above to out, one line
// each. The logger is safe for concurrent use and serialises the writes to out.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := zerolog.SyncWriter(&lineWriter{out: out})
	return zerolog.New(writer).Level(level).Hook(timeHook{})
}

// ParseLevel returns the level with the name debug, info, warn or error.
func ParseLevel(name string) (zerolog.Level, error) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		return zerolog.NoLevel, errors.Errorf("log level %q: want debug, info, warn or error", name)
	}
	return level, nil
}

// timeHook adds the time to each event. zerolog's own timestamp would need the
// global variable zerolog.TimeFieldFormat.
type timeHook struct{}

// Run implements zerolog.Hook.
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}
