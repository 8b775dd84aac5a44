package capacity

import "math"

const (
	// firstGain and minGain are the weights of the first and of a late observation in the moving average of the ratio.
	// The first is taken for two thirds, because servers of a service differ by 0.7 to 1.7.
	firstGain = 0.66
	minGain   = 0.12
	// observationNoise is the standard deviation of the first observation. That of the moving average falls with the
	// root of their number.
	observationNoise = 0.25
	// minMargin and minExcess are how far the ratio must exceed 1 before keys are moved, as a fraction, and as a
	// difference of utilisation. Less than that is noise of the measurement.
	minMargin = 0.1
	minExcess = 0.08
	// jumpRatio is the difference between an observation and the moving average that noise does not explain. A key that
	// becomes hot causes one.
	jumpRatio = 0.5
	// MinUtilisation is the utilisation below which no keys are moved, and minUtilisationFar that for a ratio of
	// farRatio or more.
	MinUtilisation    = 0.5
	minUtilisationFar = 0.35
	farRatio          = 1.3
	// idleUtilisation is the utilisation of the service below which ratios are meaningless.
	idleUtilisation = 0.1
	// someKeys and manyKeys are shares of the server's keys. A change by so many leaves settledObservations or
	// jumpObservations of the earlier ones. A jump leaves jumpObservations too.
	someKeys            = 0.05
	manyKeys            = 0.2
	settledObservations = 3
	jumpObservations    = 1
	// firstObservations is the number of observations after the start of load before which no keys are moved. Until
	// then, the announced loads of the servers are from different moments of the rise.
	firstObservations = 4
)

// Imbalance follows the ratio between the utilisation of one server and that of its service, and decides how much of
// the server's load is to be moved away. The ratio is smoothed and not the utilisation, because the load of all servers
// rises and falls together. The zero value is ready for use. It is not safe for concurrent use.
type Imbalance struct {
	// excess is the moving average of the ratio, less one. observations counts what it consists of.
	excess       float64
	observations int
	// loaded counts the observations since the start of load.
	loaded int
	keys   int
}

// Observe records the utilisation of the server and of the service, and the number of keys of the server. It is called
// at regular intervals of about 400 ms.
func (i *Imbalance) Observe(own, service float64, keys int) {
	if service < idleUtilisation {
		*i = Imbalance{keys: keys}
		return
	}
	switch change := math.Abs(float64(keys-i.keys)) / float64(max(1, i.keys)); {
	case change > manyKeys:
		i.observations = min(i.observations, jumpObservations)
	case change > someKeys:
		i.observations = min(i.observations, settledObservations)
	}
	i.keys = keys
	excess := own/service - 1
	if math.Abs(excess-i.excess) > jumpRatio {
		i.observations = min(i.observations, jumpObservations)
	}
	gain := max(minGain, firstGain/(1+firstGain*float64(i.observations)))
	i.excess += gain * (excess - i.excess)
	i.observations++
	i.loaded++
}

// ShareToMove returns the share of the server's load that is to be moved to other servers, or zero if its utilisation is
// not far enough above that of the service.
func (i *Imbalance) ShareToMove(own, service float64) float64 {
	margin := max(minMargin, minExcess/service, observationNoise/math.Sqrt(float64(max(1, i.observations))))
	minimum := MinUtilisation
	if 1+i.excess >= farRatio {
		minimum = minUtilisationFar
	}
	if i.loaded < firstObservations || own < minimum || own < service || i.excess < margin {
		return 0
	}
	return 1 - 1/(1+i.excess)
}

// Moved records that a share of the server's load is being moved to other servers.
func (i *Imbalance) Moved(share float64) { i.excess = (1+i.excess)*(1-share) - 1 }
