// Package document reads JSON with comments strictly: every refusal names
// file, line, column, field and remedy, and all refusals of a file come at once.
package document
