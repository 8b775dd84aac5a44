package ownership

// warmupFactor returns the factor of the capacity of a host's backend server that placement counts on. Keys go to a cold
// server in proportion to what it accepts, and more of them once it is warm. The initial assignment ignores that: all
// servers have just started then, and a few tenths of a second must not decide how many keys each gets.
func warmupFactor(r *Record, p Peer) float64 {
	if p.ColdShare <= 0 || len(r.Members) == 0 {
		return 1
	}
	return min(1, p.ColdShare)
}
