// Package hosted wires an entry instance that runs on the hosting platform:
// every instance serves callers, and one of them plans.
package hosted
