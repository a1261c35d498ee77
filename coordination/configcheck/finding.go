package configcheck

import "fmt"

// Severity says whether a finding keeps a configuration from being sent.
type Severity string

// The severities: an error contradicts itself or can never take effect; a warning may be
// intended.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding describes a problem of a configuration. Field is the path of a value in the words
// of this package's types, with indices, such as queues[0].timeout.
type Finding struct {
	Severity Severity
	Field    string
	Message  string
	Remedy   string
}

// Difference is a value that two configurations have differently; "" means that it is
// absent. In Field, entries of lists have names where they have any.
type Difference struct {
	Field   string
	InForce string
	File    string
}

// findings collects what the checks of one configuration report.
type findings struct {
	list []Finding
}

func (f *findings) add(severity Severity, field, remedy, format string, values ...any) {
	f.list = append(f.list, Finding{Severity: severity, Field: field, Message: fmt.Sprintf(format, values...), Remedy: remedy})
}
