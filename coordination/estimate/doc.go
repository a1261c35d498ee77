// Package estimate corrects declared run times and sizes by what earlier jobs
// of the same organisation and kind turned out to need.
package estimate
