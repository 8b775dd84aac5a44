package caller

// ChooseByScore makes a load-aware relay choose servers as one that is not load-aware does.
func ChooseByScore(r *Relay) { r.balancer.setCapacityAware(false) }
