package backlog

// ExpiryFactor is how many times its objective a job may take before it counts for nothing.
const ExpiryFactor = 3
