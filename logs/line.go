package logs

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// leading are the keys that stand first on each line, in this order.
var leading = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, EventField}

// lineWriter turns zerolog's JSON object into a line of pairs, the other
// keys in the order in which the event was given them.
type lineWriter struct {
	out io.Writer
}

type pair struct{ key, value string }

// Write implements io.Writer; it takes one event a call.
func (w *lineWriter) Write(event []byte) (int, error) {
	pairs, err := parse(event)
	if err != nil {
		return 0, err
	}
	var line bytes.Buffer
	for _, key := range leading {
		for _, p := range pairs {
			if p.key == key {
				appendPair(&line, p)
			}
		}
	}
	for _, p := range pairs {
		if !isLeading(p.key) {
			appendPair(&line, p)
		}
	}
	line.WriteByte('\n')
	if _, err := w.out.Write(line.Bytes()); err != nil {
		return 0, errors.Wrap(err, "write a log line")
	}
	return len(event), nil
}

func parse(event []byte) ([]pair, error) {
	decoder := json.NewDecoder(bytes.NewReader(event))
	if _, err := decoder.Token(); err != nil {
		return nil, errors.Wrap(err, "read a log event")
	}
	var pairs []pair
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, errors.Wrap(err, "read a log event")
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, errors.Wrap(err, "read a log event")
		}
		name, _ := key.(string)
		pairs = append(pairs, pair{key: name, value: textOf(value)})
	}
	return pairs, nil
}

// textOf returns a string without its JSON quotes and anything else as it stands.
func textOf(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

func appendPair(line *bytes.Buffer, p pair) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(p.key)
	line.WriteByte('=')
	line.WriteString(quoteIfNeeded(p.value))
}

func isLeading(key string) bool {
	for _, name := range leading {
		if key == name {
			return true
		}
	}
	return false
}
