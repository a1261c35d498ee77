package state

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"testing"
)

// A constant that is missing from Reasons would have no counter; the test
// reads the constants from the source file.
func TestReasonsListsEveryConstant(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var declared []Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, isValue := n.(*ast.ValueSpec)
		if !isValue {
			return true
		}
		if kind, named := spec.Type.(*ast.Ident); named && kind.Name == "Reason" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			declared = append(declared, Reason(text))
		}
		return true
	})
	if len(declared) == 0 || !slices.Equal(declared, Reasons) {
		t.Errorf("declared %v\nlisted %v", declared, Reasons)
	}
}
