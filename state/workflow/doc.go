// Package workflow defines the types for multi-step jobs on a hosting
// platform: the job as submitted, the progress of its gangs and tasks, the
// workers, and the operator's policy.
package workflow
