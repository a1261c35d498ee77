package logs

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// leading are the keys that stand first on each line, in this order.
var leading = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, EventField}

// lineWriter turns zerolog's JSON object into a line of pairs, the other
// keys in the order in which the event was given them. One goroutine at a
// time may use it.
type lineWriter struct {
	out   io.Writer
	pairs []pair
	line  []byte
}

// pair is a key with its value as they stand in the JSON text.
type pair struct{ key, value []byte }

// Write implements io.Writer; it takes one event a call.
func (w *lineWriter) Write(event []byte) (int, error) {
	pairs, err := split(event, w.pairs[:0])
	if err != nil {
		return 0, err
	}
	w.pairs = pairs
	w.line = w.line[:0]
	for _, key := range leading {
		for _, p := range pairs {
			if string(p.key) == key {
				w.append(p)
			}
		}
	}
	for _, p := range pairs {
		if !isLeading(p.key) {
			w.append(p)
		}
	}
	w.line = append(w.line, '\n')
	if _, err := w.out.Write(w.line); err != nil {
		return 0, errors.Wrap(err, "write a log line")
	}
	return len(event), nil
}

func (w *lineWriter) append(p pair) {
	if len(w.line) > 0 {
		w.line = append(w.line, ' ')
	}
	w.line = append(w.line, p.key...)
	w.line = append(w.line, '=')
	w.line = appendValue(w.line, p.value)
}

// appendValue writes a string without its JSON quotes and anything else as it
// stands, and quotes what a reader of pairs could not cut out.
func appendValue(line, value []byte) []byte {
	plain := value
	isString := len(value) >= 2 && value[0] == '"'
	if isString {
		plain = value[1 : len(value)-1]
	}
	if isPlain(plain) {
		return append(line, plain...)
	}
	text := string(value)
	if isString {
		if err := json.Unmarshal(value, &text); err != nil {
			text = string(value)
		}
	}
	return strconv.AppendQuote(line, text)
}

func isPlain(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f {
			return false
		}
	}
	return len(text) > 0
}

func isLeading(key []byte) bool {
	for _, name := range leading {
		if string(key) == name {
			return true
		}
	}
	return false
}
