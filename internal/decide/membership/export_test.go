package membership

// RingHashes exposes ringHashes, a member's position on each ring, to the
// tests.
var RingHashes = ringHashes
