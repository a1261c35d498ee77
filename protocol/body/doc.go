// Package body decodes JSON bodies strictly: it rejects unknown and duplicate
// fields with an error that names them.
package body
