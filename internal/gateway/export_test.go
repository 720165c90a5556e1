package gateway

// CopyTimeout limits one attempt to move a generation.
const CopyTimeout = copyTimeout

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
