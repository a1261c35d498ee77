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
	tests := []struct{ name, text, problem string }{
		{"whole", `{"a":1,"b":{"c":[1,2]},"d":[{"e":"x"},{"e":"a"}]}`, ""},
		{"the same name at other places", `{"a":1,"d":[{"e":"a"}],"b":{}}`, ""},
		{"space around", " {\"a\":1} \n", ""},
		{"unknown field", `{"x":1}`, `unknown field "x"`},
		{"unknown field below", `{"b":{"x":1}}`, `unknown field "x"`},
		{"field twice", `{"a":1,"a":2}`, `field "a" stands twice`},
		{"field twice in another case", `{"a":1,"A":2}`, `field "A" stands twice`},
		{"field twice below, behind an array", `{"b":{"c":[1],"c":[2]}}`, `field "c" stands twice`},
		{"field twice behind an object", `{"b":{},"a":1,"b":{}}`, `field "b" stands twice`},
		{"field twice by an escape", `{"a":1,"\u0061":2}`, "escapes"},
		{"quotes and escapes in values", `{"d":[{"e":"\"a\\"},{"e":"{,\"a\":"}],"a":1}`, ""},
		{"nested deep", `{"b":{"c":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}}`, "cannot unmarshal"},
		{"two values", `{} {}`, "more than one"},
		{"rest", `{}x`, "more than one"},
		{"half", `{"a":1`, "unexpected EOF"},
		{"nothing", ``, "EOF"},
		{"wrong kind", `{"a":"1"}`, "cannot unmarshal"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var into message
			err := Decode([]byte(tt.text), &into)
			if again := Decode([]byte(tt.text), &message{}); (again == nil) != (err == nil) {
				t.Errorf("first %v, then %v", err, again)
			}
			if (err == nil) != (tt.problem == "") || err != nil && !strings.Contains(err.Error(), tt.problem) {
				t.Errorf("error %v, want %q", err, tt.problem)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"a":1,"b":{"c":[1,2]},"d":[{"e":"x"}]}`, `[[[[]]]]`, `{"a":1,"a":2}`, `null`, `{"":{}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var kept, fresh message
		err := Decode(text, &kept)
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		freshErr := decoder.Decode(&fresh)
		if freshErr == nil {
			_, freshErr = decoder.Token()
		}
		if err == nil && (!errors.Is(freshErr, io.EOF) || !reflect.DeepEqual(kept, fresh)) {
			t.Errorf("a kept decoder read %+v, a fresh one %+v, %v", kept, fresh, freshErr)
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
