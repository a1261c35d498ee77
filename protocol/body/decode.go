package body

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxDepth bounds how deep arrays and objects may be nested.
	maxDepth = 32
	// maxFields bounds the fields of one object.
	maxFields = 256
	// maxKeptBytes bounds the text after which a decoder's buffer is kept.
	maxKeptBytes = 64 << 10
)

// Decode reads the one JSON value in text. It refuses unknown fields, a field
// that stands twice in one object, and anything behind the value.
func Decode(text []byte, into any) error {
	d := decoders.Get().(*decoder)
	if err := d.decode(text, into); err != nil {
		return errors.Wrap(err, "body")
	}
	if len(text) <= maxKeptBytes {
		decoders.Put(d)
	}
	return errors.Wrap(checkFields(text), "body")
}

// decoder decodes one text after another; after an error it is of no more use.
type decoder struct {
	text bytes.Reader
	json *json.Decoder
}

var decoders = sync.Pool{New: func() any {
	d := &decoder{}
	d.json = json.NewDecoder(&d.text)
	d.json.DisallowUnknownFields()
	return d
}}

func (d *decoder) decode(text []byte, into any) error {
	text = bytes.TrimRight(text, " \t\r\n")
	before := d.json.InputOffset()
	d.text.Reset(text)
	if err := d.json.Decode(into); err != nil {
		return err
	}
	if d.json.InputOffset()-before < int64(len(text)) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// scan walks over text that is known to be valid JSON.
type scan struct {
	text []byte
	open []object
	// names holds the fields of the open objects so far, as written, those of
	// the innermost last.
	names [][]byte
	// atName is set if the next string is a field's name.
	atName bool
}

// object is an object or an array that the scan is in; its fields begin at
// first among the names.
type object struct {
	isArray bool
	first   int
}

var scans = sync.Pool{New: func() any { return new(scan) }}

// checkFields looks for fields that stand twice in an object.
func checkFields(text []byte) error {
	s := scans.Get().(*scan)
	defer s.release()
	s.text = text
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '{', '[':
			s.atName = text[at] == '{'
			s.open = append(s.open, object{isArray: !s.atName, first: len(s.names)})
			if len(s.open) > maxDepth {
				return errors.Errorf("is nested deeper than %d", maxDepth)
			}
		case '}', ']':
			s.atName = false
			s.names = s.names[:s.open[len(s.open)-1].first]
			s.open = s.open[:len(s.open)-1]
		case ',':
			s.atName = !s.open[len(s.open)-1].isArray
		case '"':
			end := s.endOfString(at)
			if err := s.take(text[at+1 : end]); err != nil {
				return err
			}
			at = end
		}
	}
	return nil
}

func (s *scan) release() {
	clear(s.names[:cap(s.names)])
	*s = scan{open: s.open[:0], names: s.names[:0]}
	scans.Put(s)
}

// endOfString returns where the string's closing quote is.
func (s *scan) endOfString(at int) int {
	for at++; s.text[at] != '"'; at++ {
		if s.text[at] == '\\' {
			at++
		}
	}
	return at
}

// take notes a field's name, without regard to case since decoding has none,
// and passes over other strings.
func (s *scan) take(name []byte) error {
	if !s.atName {
		return nil
	}
	s.atName = false
	if !isPlainName(name) {
		return errors.Errorf("field %q is written with escapes or beyond ASCII", name)
	}
	fields := s.names[s.open[len(s.open)-1].first:]
	for _, field := range fields {
		if len(field) == len(name) && bytes.EqualFold(field, name) {
			return errors.Errorf("field %q stands twice", name)
		}
	}
	if len(fields) >= maxFields {
		return errors.Errorf("an object has more than %d fields", maxFields)
	}
	s.names = append(s.names, name)
	return nil
}

// isPlainName reports whether the name has one form only, case aside.
func isPlainName(name []byte) bool {
	for _, c := range name {
		if c == '\\' || c >= 0x80 {
			return false
		}
	}
	return true
}
