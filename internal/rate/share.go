package rate

// floorShare is the part of a limit that is divided equally whatever the
// demand, so that an entry whose demand is new is not refused outright.
const floorShare = 0.2

// Share returns one entry's part of a limit, in (0, 1], by its own demand and
// that of the peers it heard. All entries that see the same demand get parts
// that add up to 1. It divides equally where no peer was heard. Members that
// were not heard count as the average of those that were, so that a partition
// can't lift all parts at once.
func Share(own, others float64, heard, members int) float64 {
	n := float64(max(members, heard+1))
	if heard > 0 {
		others *= (n - 1) / float64(heard)
	}
	if heard == 0 || own+others <= 0 {
		return 1 / n
	}
	return floorShare/n + (1-floorShare)*own/(own+others)
}
