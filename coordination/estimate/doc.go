// Package estimate corrects declared run times and resources by the actual usage
// of earlier jobs of the same organisation and kind.
package estimate
