package capacity_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/capacity"
)

// TestSlowdownAgesOut guards against a server that counts as slow for longer than slow moments last, and against a factor
// that would make it look fast.
func TestSlowdownAgesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	stated := time.Unix(100, 0)
	slow := capacity.NewSlowdown(3, stated)
	g.Expect(slow.At(stated)).To(gomega.Equal(3.0))
	g.Expect(slow.At(stated.Add(100 * time.Millisecond))).To(gomega.Equal(2.5))
	g.Expect(slow.At(stated.Add(400 * time.Millisecond))).To(gomega.Equal(1.0))
	g.Expect(capacity.NewSlowdown(0.4, stated).At(stated)).To(gomega.Equal(1.0))
	g.Expect(math.IsInf(capacity.NewSlowdown(math.Inf(1), stated).At(stated), 0)).To(gomega.BeFalse())
	g.Expect(capacity.Slowdown{}.At(stated)).To(gomega.Equal(1.0))
}
