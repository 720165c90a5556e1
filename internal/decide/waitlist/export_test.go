package waitlist

// AccountCount returns the number of accounts that the list keeps.
func (l *List) AccountCount() int { return l.accounts.AccountCount() }

// PlacementCount returns the number of placements that the list keeps.
func (l *List) PlacementCount() int { return len(l.placements) }
