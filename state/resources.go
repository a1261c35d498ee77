package state

// Resources is an amount of each resource that a worker offers and a task uses.
type Resources struct {
	Slots        int
	Accelerators int
	Cores        int
	MemoryBytes  int64
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		Slots:        r.Slots + other.Slots,
		Accelerators: r.Accelerators + other.Accelerators,
		Cores:        r.Cores + other.Cores,
		MemoryBytes:  r.MemoryBytes + other.MemoryBytes,
	}
}

// Minus returns r minus other; an amount may become negative.
func (r Resources) Minus(other Resources) Resources {
	return r.Plus(other.Times(-1))
}

// Times returns r multiplied by count.
func (r Resources) Times(count int) Resources {
	return Resources{
		Slots:        r.Slots * count,
		Accelerators: r.Accelerators * count,
		Cores:        r.Cores * count,
		MemoryBytes:  r.MemoryBytes * int64(count),
	}
}

// FitsIn reports whether every amount of r is at most that of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.Slots <= free.Slots &&
		r.Accelerators <= free.Accelerators &&
		r.Cores <= free.Cores &&
		r.MemoryBytes <= free.MemoryBytes
}

// CountIn returns how many times r fits into free; it is 0 when all amounts of r are 0.
func (r Resources) CountIn(free Resources) int {
	count := -1
	count = smallerQuotient(count, int64(free.Slots), int64(r.Slots))
	count = smallerQuotient(count, int64(free.Accelerators), int64(r.Accelerators))
	count = smallerQuotient(count, int64(free.Cores), int64(r.Cores))
	count = smallerQuotient(count, free.MemoryBytes, r.MemoryBytes)
	return max(count, 0)
}

// DominantShare returns the largest fraction of total that r uses of any one
// resource, as in dominant resource fairness (Ghodsi et al., NSDI 2011).
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(int64(r.Slots), int64(total.Slots))
	share = max(share, fraction(int64(r.Accelerators), int64(total.Accelerators)))
	share = max(share, fraction(int64(r.Cores), int64(total.Cores)))
	return max(share, fraction(r.MemoryBytes, total.MemoryBytes))
}

func smallerQuotient(count int, free, wanted int64) int {
	if wanted <= 0 {
		return count
	}
	quotient := int(max(free, 0) / wanted)
	if count < 0 {
		return quotient
	}
	return min(count, quotient)
}

func fraction(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}
