// Package fleet starts entries together with stand-ins of the platform, over
// real loopback ports of this one process, for trials and tests.
package fleet
