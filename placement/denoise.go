package placement

import (
	"math"
	"slices"
)

const (
	// significance is how many standard deviations the measured load of a span must exceed the load of a usual span of
	// the same size before the excess counts.
	significance = 3.0
	// denoisePasses is the number of passes in which the load of a usual span is determined.
	denoisePasses = 3
)

// denoise returns the spans with the load that is to be expected on each. Most spans get a call every few seconds, so
// that those with the highest measured load are mostly those that happen to have been called lately. If these were moved
// with their measured load, only a fraction of it would move. The quantum is the load that one call contributes to a
// measurement, and the total remains the same.
func denoise(spans []LoadedSpan, quantum float64) []LoadedSpan {
	keys, total := 0.0, 0.0
	for _, span := range spans {
		keys += float64(span.Span.Size())
		total += span.Load
	}
	expected := slices.Clone(spans)
	if total == 0 {
		return expected
	}
	usual := total / keys
	for range denoisePasses {
		excess := 0.0
		for i, span := range spans {
			expected[i].Load = usual * float64(span.Span.Size())
			noise := math.Sqrt(expected[i].Load * quantum)
			if above := span.Load - expected[i].Load; above > significance*noise+quantum {
				expected[i].Load = span.Load - quantum/2
				excess += above
			}
		}
		usual = max(0, total-excess) / keys
	}
	sum := 0.0
	for _, span := range expected {
		sum += span.Load
	}
	for i := range expected {
		expected[i].Load *= total / sum
	}
	return expected
}
