package interference

// Pairs returns the number of pairs that are kept.
func (m *Model) Pairs() int { return len(m.pairs) }
