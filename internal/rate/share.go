package rate

// equalFraction is the fraction of a limit that is divided equally whatever the
// demand, so that an entry whose demand is new doesn't start without a share.
const equalFraction = 0.2

// Share returns one entry's share of a limit, in (0, 1]. It depends on the
// entry's own demand, the sum of the demand that peers reported, and the number
// of these peers and of all members. If all entries use the same demands, their
// shares add up to 1. Without reporting peers the limit is divided equally.
// Members that did not report count like the average of those that did, so that
// a partition can't raise all shares at once.
func Share(own, others float64, reporting, members int) float64 {
	n := float64(max(members, reporting+1))
	if reporting > 0 {
		others *= (n - 1) / float64(reporting)
	}
	if reporting == 0 || own+others <= 0 {
		return 1 / n
	}
	return equalFraction/n + (1-equalFraction)*own/(own+others)
}
