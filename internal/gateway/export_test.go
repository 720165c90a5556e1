package gateway

// CopyTimeout limits one attempt to move a generation.
const CopyTimeout = copyTimeout
