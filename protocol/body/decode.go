package body

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxDepth limits the nesting of arrays and objects.
	maxDepth = 32
	// maxFields limits the fields of one object.
	maxFields = 256
	// maxPooledBytes is the longest text after which a decoder goes back to the
	// pool; a longer one would leave a large buffer there.
	maxPooledBytes = 64 << 10
)

// Decode decodes text, which must be a single JSON value. It rejects unknown
// fields, duplicate fields of an object and anything after the value.
func Decode(text []byte, into any) error {
	d := decoderPool.Get().(*decoder)
	if err := d.decode(text, into); err != nil {
		return errors.Wrap(err, "body")
	}
	if len(text) <= maxPooledBytes {
		decoderPool.Put(d)
	}
	return errors.Wrap(checkFields(text), "body")
}

// decoder decodes one text after another; it must not be used after an error.
type decoder struct {
	input bytes.Reader
	json  *json.Decoder
}

var decoderPool = sync.Pool{New: func() any {
	d := &decoder{}
	d.json = json.NewDecoder(&d.input)
	d.json.DisallowUnknownFields()
	return d
}}

func (d *decoder) decode(text []byte, into any) error {
	text = bytes.TrimRight(text, " \t\r\n")
	startOffset := d.json.InputOffset()
	d.input.Reset(text)
	if err := d.json.Decode(into); err != nil {
		return err
	}
	if d.json.InputOffset()-startOffset < int64(len(text)) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// fieldScanner scans the field names of text that is known to be valid JSON.
type fieldScanner struct {
	text []byte
	// containers are the open objects and arrays, the innermost last.
	containers []container
	// fieldNames holds the names seen so far in the open objects, as written,
	// those of the innermost last.
	fieldNames [][]byte
	// expectsName is true if the next string is a field's name.
	expectsName bool
}

// container is an open object or array; its names begin at fieldNames[firstName].
type container struct {
	isArray   bool
	firstName int
}

var scannerPool = sync.Pool{New: func() any { return new(fieldScanner) }}

// checkFields rejects objects with duplicate or too many fields, names with
// escapes, and too deep nesting.
func checkFields(text []byte) error {
	s := scannerPool.Get().(*fieldScanner)
	defer s.release()
	s.text = text
	for offset := 0; offset < len(text); offset++ {
		switch text[offset] {
		case '{', '[':
			s.expectsName = text[offset] == '{'
			s.containers = append(s.containers, container{isArray: !s.expectsName, firstName: len(s.fieldNames)})
			if len(s.containers) > maxDepth {
				return errors.Errorf("nested deeper than %d levels", maxDepth)
			}
		case '}', ']':
			s.expectsName = false
			s.fieldNames = s.fieldNames[:s.containers[len(s.containers)-1].firstName]
			s.containers = s.containers[:len(s.containers)-1]
		case ',':
			s.expectsName = !s.containers[len(s.containers)-1].isArray
		case '"':
			end := s.stringEnd(offset)
			if err := s.visitString(text[offset+1 : end]); err != nil {
				return err
			}
			offset = end
		}
	}
	return nil
}

func (s *fieldScanner) release() {
	clear(s.fieldNames[:cap(s.fieldNames)])
	*s = fieldScanner{containers: s.containers[:0], fieldNames: s.fieldNames[:0]}
	scannerPool.Put(s)
}

// stringEnd returns the offset of the closing quote of the string that opens at
// the offset.
func (s *fieldScanner) stringEnd(offset int) int {
	for offset++; s.text[offset] != '"'; offset++ {
		if s.text[offset] == '\\' {
			offset++
		}
	}
	return offset
}

// visitString adds a string to fieldNames if it is a field's name, and rejects a
// duplicate. Names are compared without case because encoding/json matches
// fields without case.
func (s *fieldScanner) visitString(name []byte) error {
	if !s.expectsName {
		return nil
	}
	s.expectsName = false
	if !isUnescapedASCII(name) {
		return errors.Errorf("field %q contains escapes or non-ASCII characters", name)
	}
	fields := s.fieldNames[s.containers[len(s.containers)-1].firstName:]
	for _, field := range fields {
		if len(field) == len(name) && bytes.EqualFold(field, name) {
			return errors.Errorf("duplicate field %q", name)
		}
	}
	if len(fields) >= maxFields {
		return errors.Errorf("an object has more than %d fields", maxFields)
	}
	s.fieldNames = append(s.fieldNames, name)
	return nil
}

// isUnescapedASCII reports whether the name can be spelt in one way only, apart
// from case. Escapes and non-ASCII letters would hide a duplicate.
func isUnescapedASCII(name []byte) bool {
	for _, c := range name {
		if c == '\\' || c >= 0x80 {
			return false
		}
	}
	return true
}
