// Package settings reads and checks the settings of one entry instance.
package settings
