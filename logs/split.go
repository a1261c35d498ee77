package logs

import (
	"bytes"

	"github.com/pkg/errors"
)

var errNotObject = errors.New("split log event: not a JSON object")

// splitObject appends the members of the JSON object to pairs; nested values
// stay as written.
func splitObject(object []byte, pairs []pair) ([]pair, error) {
	rest := bytes.TrimSpace(object)
	if len(rest) < 2 || rest[0] != '{' || rest[len(rest)-1] != '}' {
		return nil, errNotObject
	}
	rest = rest[1 : len(rest)-1]
	for len(rest) > 0 {
		keyEnd := valueEnd(rest)
		if keyEnd < 2 || keyEnd >= len(rest) || rest[0] != '"' || rest[keyEnd] != ':' {
			return nil, errNotObject
		}
		key := rest[1 : keyEnd-1]
		rest = rest[keyEnd+1:]
		end := valueEnd(rest)
		pairs = append(pairs, pair{key: key, value: rest[:end]})
		rest = bytes.TrimPrefix(rest[end:], []byte(","))
	}
	return pairs, nil
}

// valueEnd returns the offset at which the first value in text ends: that of the
// next comma or colon outside strings, arrays and objects.
func valueEnd(text []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case depth == 0 && (c == ',' || c == ':'):
			return i
		}
	}
	return len(text)
}
