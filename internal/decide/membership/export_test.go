package membership

// RingHashes gives a member's place on each ring.
var RingHashes = ringHashes
