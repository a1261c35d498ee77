// Package settings decodes and validates the settings file of an entry instance.
package settings
