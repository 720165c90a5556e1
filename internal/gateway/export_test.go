package gateway

const (
	// CopyTimeout limits one attempt to move a generation.
	CopyTimeout = copyTimeout
	// SwitchTimeout limits the wait for the engine that a generation switches to.
	SwitchTimeout = switchTimeout
)

// MovesInProgress returns the number of moves that reserve room and are not over.
func (g *Gateway) MovesInProgress() int {
	g.moves.mu.Lock()
	defer g.moves.mu.Unlock()
	count := 0
	for _, s := range g.moves.sources {
		count += s.moves
	}
	return count
}
