package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/coordination/configcheck"
	"comfreystream/protocol/document"
)

// checkReport is the result of check as its JSON shows it.
type checkReport struct {
	File        string            `json:"file"`
	Kind        string            `json:"kind"`
	Findings    []checkFinding    `json:"findings"`
	Differences []checkDifference `json:"differences"`

	// rename gives a field its name in the file; nil keeps it.
	rename func(field string) string
}

type checkFinding struct {
	Severity configcheck.Severity `json:"severity"`
	Line     int                  `json:"line"`
	Column   int                  `json:"column"`
	Field    string               `json:"field"`
	Message  string               `json:"message"`
	Remedy   string               `json:"remedy"`
}

type checkDifference struct {
	Field   string `json:"field"`
	InForce string `json:"inForce"`
	File    string `json:"file"`
}

func (r *checkReport) fieldName(field string) string {
	if r.rename == nil {
		return field
	}
	return r.rename(field)
}

func (r *checkReport) addFindings(d *document.Document, findings []configcheck.Finding) {
	for _, f := range findings {
		r.addProblems(f.Severity, d.Problem(r.fieldName(f.Field), f.Message, f.Remedy))
	}
}

func (r *checkReport) addProblems(severity configcheck.Severity, problems ...document.Problem) {
	for _, p := range problems {
		r.Findings = append(r.Findings, checkFinding{severity, p.Line, p.Column, p.Field, p.Message, p.Remedy})
	}
}

func (r *checkReport) addDifferences(differences []configcheck.Difference) {
	for _, d := range differences {
		r.Differences = append(r.Differences, checkDifference{r.fieldName(d.Field), d.InForce, d.File})
	}
}

// print prints the findings in the file's order, and returns an error if one of them is an error.
func (r *checkReport) print(out io.Writer, asJSON bool) error {
	slices.SortStableFunc(r.Findings, func(a, b checkFinding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	write := r.writeText
	if asJSON {
		write = r.writeJSON
	}
	if err := write(out); err != nil {
		return &usageError{errors.Wrap(err, "print the result")}
	}
	failed := 0
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%s: errors found: %d", r.File, failed)
	}
	return nil
}

// writeJSON writes empty lists as [], so that a reader need not tell null apart.
func (r *checkReport) writeJSON(out io.Writer) error {
	if r.Findings == nil {
		r.Findings = []checkFinding{}
	}
	if r.Differences == nil {
		r.Differences = []checkDifference{}
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

func (r *checkReport) writeText(out io.Writer) error {
	for _, f := range r.Findings {
		p := document.Problem{File: r.File, Line: f.Line, Column: f.Column, Field: f.Field, Message: f.Message, Remedy: f.Remedy}
		if _, err := fmt.Fprintf(out, "%s: %s\n", f.Severity, p); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintf(out, "differs: %s: in force %s, file %s\n", d.Field, orDash(d.InForce), orDash(d.File)); err != nil {
			return err
		}
	}
	if len(r.Findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "%s: this is a well-formed %s file\n", r.File, r.Kind)
	return err
}
