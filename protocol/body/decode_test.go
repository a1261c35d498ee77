package body

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

type message struct {
	A int
	B struct{ C []int }
	D []struct{ E string }
}

func TestDecode(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"valid", `{"a":1,"b":{"c":[1,2]},"d":[{"e":"x"},{"e":"a"}]}`, ""},
		{"the same name in different objects", `{"a":1,"d":[{"e":"a"}],"b":{}}`, ""},
		{"surrounding whitespace", " {\"a\":1} \n", ""},
		{"unknown field", `{"x":1}`, `unknown field "x"`},
		{"unknown field in a nested object", `{"b":{"x":1}}`, `unknown field "x"`},
		{"duplicate field", `{"a":1,"a":2}`, `duplicate field "a"`},
		{"duplicate field in another case", `{"a":1,"A":2}`, `duplicate field "A"`},
		{"duplicate field in a nested object, after an array", `{"b":{"c":[1],"c":[2]}}`, `duplicate field "c"`},
		{"duplicate field after an object", `{"b":{},"a":1,"b":{}}`, `duplicate field "b"`},
		{"duplicate field with an escape", `{"a":1,"\u0061":2}`, "escapes"},
		{"quotes and escapes in values", `{"d":[{"e":"\"a\\"},{"e":"{,\"a\":"}],"a":1}`, ""},
		{"deeply nested", `{"b":{"c":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}}`, "cannot unmarshal"},
		{"two values", `{} {}`, "more than one"},
		{"trailing text", `{}x`, "more than one"},
		{"truncated", `{"a":1`, "unexpected EOF"},
		{"empty", ``, "EOF"},
		{"wrong type", `{"a":"1"}`, "cannot unmarshal"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var into message
			err := Decode([]byte(tt.text), &into)
			if again := Decode([]byte(tt.text), &message{}); (again == nil) != (err == nil) {
				t.Errorf("first call: error %v, second call: %v", err, again)
			}
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

// FuzzDecode checks that a pooled decoder accepts nothing that a fresh one
// rejects, and decodes to the same value.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"a":1,"b":{"c":[1,2]},"d":[{"e":"x"}]}`, `[[[[]]]]`, `{"a":1,"a":2}`, `null`, `{"":{}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var pooled, fresh message
		err := Decode(text, &pooled)
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		freshErr := decoder.Decode(&fresh)
		if freshErr == nil {
			_, freshErr = decoder.Token()
		}
		if err == nil && (!errors.Is(freshErr, io.EOF) || !reflect.DeepEqual(pooled, fresh)) {
			t.Errorf("pooled decoder: %+v, fresh decoder: %+v, %v", pooled, fresh, freshErr)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	text := []byte(`{"a":1,"b":{"c":[1,2]},"d":[{"e":"x"},{"e":"a"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		var into message
		if err := Decode(text, &into); err != nil {
			b.Fatal(err)
		}
	}
}
