package logs

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// leadingKeys are the keys written first on each line, in this order.
var leadingKeys = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, EventField}

// lineWriter converts zerolog's JSON objects to lines of pairs: leadingKeys
// first, then the other keys in their order in the event. It is not safe for
// concurrent use.
type lineWriter struct {
	out   io.Writer
	pairs []pair
	line  []byte
}

// pair is a key without its quotes and a value, both as written in the JSON text.
type pair struct{ key, value []byte }

// Write implements io.Writer; each call must pass one event.
func (w *lineWriter) Write(event []byte) (int, error) {
	pairs, err := splitObject(event, w.pairs[:0])
	if err != nil {
		return 0, err
	}
	w.pairs = pairs
	w.line = w.line[:0]
	for _, key := range leadingKeys {
		for _, p := range pairs {
			if string(p.key) == key {
				w.appendPair(p)
			}
		}
	}
	for _, p := range pairs {
		if !isLeading(p.key) {
			w.appendPair(p)
		}
	}
	w.line = append(w.line, '\n')
	if _, err := w.out.Write(w.line); err != nil {
		return 0, errors.Wrap(err, "write log line")
	}
	return len(event), nil
}

func (w *lineWriter) appendPair(p pair) {
	if len(w.line) > 0 {
		w.line = append(w.line, ' ')
	}
	w.line = append(w.line, p.key...)
	w.line = append(w.line, '=')
	w.line = appendValue(w.line, p.value)
}

// appendValue appends a JSON value to the line: strings without their quotes,
// everything else unchanged. Values in which a reader could not find the end of
// the pair are quoted.
func appendValue(line, value []byte) []byte {
	content := value
	isString := len(value) >= 2 && value[0] == '"'
	if isString {
		content = value[1 : len(value)-1]
	}
	if needsNoQuotes(content) {
		return append(line, content...)
	}
	text := string(value)
	if isString {
		if err := json.Unmarshal(value, &text); err != nil {
			text = string(value)
		}
	}
	return strconv.AppendQuote(line, text)
}

func needsNoQuotes(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f {
			return false
		}
	}
	return len(text) > 0
}

func isLeading(key []byte) bool {
	for _, name := range leadingKeys {
		if string(key) == name {
			return true
		}
	}
	return false
}
