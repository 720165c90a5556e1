package connbudget

// HostLimits are the limits of the host that a process runs on.
type HostLimits struct {
	// MemoryBytes is the memory beyond which the process is killed, Sockets the number of
	// sockets that it may have.
	MemoryBytes int64
	Sockets     int
}

// Shares are the parts of a host's limits.
type Shares struct {
	// CallerBytes limits what the requests of callers make the process hold, AnswerBytes the
	// answers to them that are buffered, PeerBytes the connections of other hosts.
	CallerBytes, AnswerBytes, PeerBytes int64
	// RuntimeBytes is the memory at which the runtime collects garbage whatever the heap has
	// grown by.
	RuntimeBytes int64
	// CallerConns, PeerConns and AdminConns limit the connections that callers, other hosts and
	// each administration port have open here. The others are for connections to targets, the
	// store and other hosts.
	CallerConns, PeerConns, AdminConns int
}

// Share divides the limits of a host. Each request in progress has a connection to its caller and
// one to its target, so that both get the same number. The limit of buffered answers is between
// minAnswers, with which the longest answer fits, and maxAnswers.
func Share(host HostLimits, minAnswers, maxAnswers int64) Shares {
	answers := min(max(host.MemoryBytes/8, minAnswers), maxAnswers)
	return Shares{
		CallerBytes: max(host.MemoryBytes/16*9-answers, 0), AnswerBytes: answers, PeerBytes: host.MemoryBytes / 8, RuntimeBytes: host.MemoryBytes / 5 * 4,
		CallerConns: max(host.Sockets*5/16, 1), PeerConns: max(host.Sockets/4, 1), AdminConns: max(host.Sockets/32, 1),
	}
}
