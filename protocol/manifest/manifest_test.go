package manifest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"comfreystream/coordination/rollout"
	"comfreystream/protocol/document"
	"comfreystream/state"
)

// oneOrganisation is a manifest in which ORGANISATION is replaced by the test's organisation.
const oneOrganisation = `{"format": 1, "weights": {"completionTime": 0.5, "fragmentation": 0.5}, "organisations": [ORGANISATION]}`

func manifestWith(text string) string {
	return strings.Replace(oneOrganisation, "ORGANISATION", text, 1)
}

func TestDecodeRejects(t *testing.T) {
	guarantee := func(text string) string {
		return manifestWith(`{"name": "a", "share": 1, "guarantees": [` + text + `]}`)
	}
	tests := []struct {
		name string
		// file has an @ at the position of the expected problem.
		file  string
		field string
		want  string
	}{
		{"empty file", "@", "", "unexpected EOF"},
		{"syntax", "{\n \"format\" @1}", "", "write JSON"},
		{"too deep", strings.Repeat("[", 100) + "@[", "", "nested"},
		{"too long", "@" + strings.Repeat(" ", maxFileBytes+1), "", "bytes"},
		{"not an object", "@[]", "", "is not an object"},
		{"missing field", "@{\n\"format\": 1, \"organisations\": []}", "", `add "weights"`},
		{"unknown field", manifestWith("\n" + `{"name": "a", "share": 1, @"quotas": {}}`), "organisations[0].quotas", "remove it"},
		{"duplicate key", manifestWith(`{"name": "a", "share": 1, @"share": 2}`), "organisations[0].share", "duplicate field"},
		{"duplicate key, escaped", manifestWith(`{"name": "a", "share": 1, @"sh\u0061re": 2}`), "organisations[0].share", "duplicate field"},
		{"duplicate organisation", manifestWith(`{"name": "a", "share": 1}, {"name": @"a", "share": 2}`), "organisations[1].name", "organisations[0]"},
		{"newer format", `{"format": @2, "weights": {"completionTime": 1, "fragmentation": 0}, "organisations": []}`, "format", "from 1 to 1"},
		{"weights add up to more", `{"format": 1, "weights": @{"completionTime": 1, "fragmentation": 0.1}, "organisations": []}`, "weights", "add up to 1"},
		{"evacuated zone that is no name", `{"format": 1, "weights": {"completionTime": 1, "fragmentation": 0}, "evacuated": ["a", @"A b"], "organisations": []}`, "evacuated[1]", "lower-case"},
		{"evacuated zone listed twice", `{"format": 1, "weights": {"completionTime": 1, "fragmentation": 0}, "evacuated": ["a", @"a"], "organisations": []}`, "evacuated[1]", "once"},
		{"evacuated zones that are no list", `{"format": 1, "weights": {"completionTime": 1, "fragmentation": 0}, "evacuated": @"a", "organisations": []}`, "evacuated", "list"},
		{"number as text", manifestWith(`{"name": "a", "share": @"1"}`), "organisations[0].share", "without quotes"},
		{"number out of range", manifestWith(`{"name": "a", "share": @1e999}`), "organisations[0].share", "out of range"},
		{"no share", manifestWith(`{"name": "a", "share": @0}`), "organisations[0].share", "from 1e-06"},
		{"fraction of a job", manifestWith(`{"name": "a", "share": 1, "burstJobs": @1.5}`), "organisations[0].burstJobs", "whole number"},
		{"negative amount", manifestWith(`{"name": "a", "share": 1, "quota": {"memoryBytes": @-1}}`), "organisations[0].quota.memoryBytes", "from 0"},
		{"bad organisation name", manifestWith(`{"name": @"A b", "share": 1}`), "organisations[0].name", "lower-case"},
		{"bad zone name", guarantee(`{"availabilityZone": @"a.b", "members": 1, "shape": {"slots": 1}}`), "organisations[0].guarantees[0].availabilityZone", "lower-case"},
		{"empty zone name", guarantee(`{"availabilityZone": @"", "members": 1, "shape": {"slots": 1}}`), "organisations[0].guarantees[0].availabilityZone", "lower-case"},
		{"no members", guarantee(`{"availabilityZone": "a", "members": @0, "shape": {"slots": 1}}`), "organisations[0].guarantees[0].members", "from 1"},
		{"empty shape", guarantee(`{"availabilityZone": "a", "members": 1, "shape": @{}}`), "organisations[0].guarantees[0].shape", "requests no resources"},
		{"unknown adjacency", guarantee(`{"availabilityZone": "a", "members": 1, "shape": {"slots": 1}, "adjacency": @"near"}`), "organisations[0].guarantees[0].adjacency", "sameRack"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before, after, _ := strings.Cut(tt.file, "@")
			line := 1 + strings.Count(before, "\n")
			column := len(before) - strings.LastIndex(before, "\n")
			_, err := Decode("m", []byte(before+after))
			var invalid *document.Error
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v is not a *document.Error", err)
			}
			p := invalid.Problems[0]
			if p.Field != tt.field || p.Line != line || p.Column != column || !strings.Contains(p.String(), tt.want) {
				t.Errorf("%s\nwant field %q at %d:%d with the text %q", p, tt.field, line, column, tt.want)
			}
		})
	}
}

func TestDecodeListsEveryProblem(t *testing.T) {
	_, err := Decode("m", []byte(manifestWith(`{"name": "a"}, {"share": -1, "x": 0}`)))
	var invalid *document.Error
	if !errors.As(err, &invalid) || len(invalid.Problems) != 4 {
		t.Errorf("want 4 problems: %v", err)
	}
}

func TestExamplesDecode(t *testing.T) {
	files, err := filepath.Glob("../../docs/examples/*.manifest.jsonc")
	if err != nil || len(files) != 2 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if m, err := Decode(file, data); err != nil || len(m.Organisations) < 2 {
				t.Error(m, err)
			}
		})
	}
}

// TestHeadCodec guards against heads that lose their evacuated zones, and against a head
// without any that earlier releases cannot read: they expect five fields.
func TestHeadCodec(t *testing.T) {
	const arrayOfFive = 0x85
	for _, evacuated := range [][]string{nil, {"a"}, {"a", "b"}} {
		t.Run(fmt.Sprint(len(evacuated)), func(t *testing.T) {
			head := rollout.Head{
				Generation: 7, Digest: 9, Weights: state.Weights{CompletionTime: 1}, Evacuated: evacuated,
				Parts: []rollout.PartRef{{Name: "o", Changed: 3, ID: "w", Version: 4, Hash: 5}},
			}
			value, err := Codec().EncodeHead(head)
			if err != nil {
				t.Fatal(err)
			}
			if asBefore := value[0] == arrayOfFive; asBefore != (len(evacuated) == 0) {
				t.Errorf("first byte %x with %d evacuated zones", value[0], len(evacuated))
			}
			if got, err := Codec().DecodeHead(value); err != nil || !reflect.DeepEqual(got, head) {
				t.Errorf("%+v, %v, want %+v", got, err, head)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	seeds := []string{
		"", "{", oneOrganisation, manifestWith(`{"name": "b", "share": 1e-300, "quota": {"slots": 1}}, {"name": "a", "share": 2}`),
		manifestWith(`{"name": "a", "share": 1, "guarantees": [{"availabilityZone": "z", "members": 3, "shape": {"cores": 1}, "adjacency": "sameRack"}]}`),
		`{"format": 1, "weights": {"completionTime": 1, "fragmentation": 0}, "evacuated": ["b", "a"], "organisations": []}`,
		"// comment\n[1, \"\\ud800\"]", `{"format": 1, "generation": 9223372036854775807}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode("m", data)
		if err != nil {
			var invalid *document.Error
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v is not a *document.Error", err)
			}
			return
		}
		again, err := Decode("again", Encode(m))
		if err != nil {
			t.Fatalf("canonical file is rejected: %v", err)
		}
		if !bytes.Equal(Encode(m), Encode(again)) {
			t.Fatal("canonical files differ")
		}
	})
}

// FuzzDecodeWorkers guards against panics, and racks that a check cannot calculate with.
func FuzzDecodeWorkers(f *testing.F) {
	example, err := os.ReadFile("../../docs/examples/texas.workers.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(`{"racks": [{"availabilityZone": "z", "workers": 1048576, "capacity": {"memoryBytes": 4398046511104}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		racks, err := DecodeWorkers("w", data)
		for _, r := range racks {
			if err == nil && (r.Workers < 1 || r.AvailabilityZone == "" || r.Capacity.Times(r.Workers).MemoryBytes < 0) {
				t.Fatalf("decoded %+v", r)
			}
		}
	})
}
