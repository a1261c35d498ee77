// Package document decodes files of JSON with comments strictly. It collects all
// problems of a file, each with file, line, column, field and remedy, instead of
// stopping at the first.
package document
