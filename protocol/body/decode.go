package body

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxDepth bounds how deep arrays and objects may be nested.
	maxDepth = 32
	// maxFields bounds the fields of one object.
	maxFields = 256
)

// Decode reads the one JSON value in text. It refuses unknown fields, a field
// that stands twice in one object, and anything behind the value.
func Decode(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "body")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body: more than one JSON value")
	}
	return errors.Wrap(checkFields(text), "body")
}

// scan walks over text that is known to be valid JSON.
type scan struct {
	text []byte
	open []object
	// atName is set if the next string is a field's name.
	atName bool
}

// object is an object or an array that the scan is in; its fields are the
// names so far, as written, and nil for an array.
type object struct {
	isArray bool
	fields  [][]byte
}

// checkFields looks for fields that stand twice in an object.
func checkFields(text []byte) error {
	s := scan{text: text}
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '{', '[':
			s.atName = text[at] == '{'
			s.open = append(s.open, object{isArray: !s.atName})
			if len(s.open) > maxDepth {
				return errors.Errorf("is nested deeper than %d", maxDepth)
			}
		case '}', ']':
			s.atName = false
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
	o := &s.open[len(s.open)-1]
	for _, field := range o.fields {
		if bytes.EqualFold(field, name) {
			return errors.Errorf("field %q stands twice", name)
		}
	}
	if bytes.IndexByte(name, '\\') >= 0 {
		return errors.Errorf("field %q is written with escapes", name)
	}
	if len(o.fields) >= maxFields {
		return errors.Errorf("an object has more than %d fields", maxFields)
	}
	o.fields = append(o.fields, name)
	return nil
}
