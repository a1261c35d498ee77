// Package ownership decides which entry holds which role, by rendezvous
// hashing over the live members of an availability zone (Thaler and
// Ravishankar, IEEE/ACM Transactions on Networking, 1998).
package ownership
