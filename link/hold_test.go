package link_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

const testBudget = 1 << 20

// TestMemoryWithoutBudgetHoldsNothing checks that complete bodies do not count without a budget.
func TestMemoryWithoutBudgetHoldsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, memory := range []*link.Memory{nil, link.NewMemory(testBudget)} {
		hold := memory.Hold()
		g.Expect(hold.TryGrow(100 * testBudget)).To(gomega.BeTrue())
		hold.Raise(200 * testBudget)
		if memory != nil {
			g.Expect(memory.Usage()).To(gomega.BeZero())
		}
		hold.Release()
	}
}

// TestNewCallsLeaveMemoryForResponses guards against calls that run and whose responses cannot be held, because new calls
// took all of the budget.
func TestNewCallsLeaveMemoryForResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := link.NewMemory(testBudget)
	memory.SetBudget(testBudget)
	calls := 0
	var holds []*link.Hold
	for {
		hold := memory.Hold()
		if !hold.TryGrow(testBudget / 64) {
			break
		}
		calls++
		holds = append(holds, &hold)
	}
	g.Expect(calls).To(gomega.Equal(48), "three quarters are for new calls")
	response, err := memory.ReadBody(&zeros{remaining: 100 << 10}, 100<<10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response).To(gomega.HaveLen(100 << 10))
	for _, hold := range holds {
		hold.Raise(testBudget / 32)
	}
	g.Expect(memory.Usage().Held).To(gomega.Equal(int64(calls*testBudget/32)), "responses are never rejected")
	_, err = memory.ReadBody(&zeros{remaining: 100 << 10}, 100<<10)
	var exceeded *link.MemoryError
	g.Expect(errors.As(err, &exceeded)).To(gomega.BeTrue(), "more than the budget cannot be held: %v", err)
	memory.SetBudget(0) // holds end under another configuration than they began
	for _, hold := range holds {
		hold.Release()
		hold.Release()
	}
	g.Expect(memory.Usage()).To(gomega.BeZero())
}

// TestHoldsUnderLoad plays calls with requests and responses at several times what the budget permits. New calls never
// exceed their share, and all memory is given back.
func TestHoldsUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	memory := link.NewMemory(testBudget)
	memory.SetBudget(testBudget)
	var running []*link.Hold
	accepted := 0
	for range 100_000 {
		if len(running) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(running))
			running[i].Release()
			running = append(running[:i], running[i+1:]...)
			continue
		}
		hold := memory.Hold()
		if !hold.TryGrow(60 << 10) {
			g.Expect(memory.Usage().Held).To(gomega.BeNumerically(">", testBudget*3/4-60<<10), "rejected only if full")
			continue
		}
		accepted++
		running = append(running, &hold)
		g.Expect(memory.Usage().Held).To(gomega.BeNumerically("<=", testBudget*3/4))
	}
	g.Expect(accepted).To(gomega.BeNumerically(">", 10_000))
	for _, hold := range running {
		hold.Release()
	}
	g.Expect(memory.Usage().Held).To(gomega.BeZero())
}

// TestBodiesAreReadWhateverTheirStatedLength checks bodies that are shorter and longer than they state.
func TestBodiesAreReadWhateverTheirStatedLength(t *testing.T) {
	for _, size := range []int{0, 1, 1000, 64 << 10, 90 << 10, 128 << 10, 300 << 10} {
		for _, stated := range []int{-1, 0, size - 1, size, size + 1, 2 * size} {
			for _, memory := range []*link.Memory{nil, link.NewMemory(8 << 20)} {
				g := gomega.NewWithT(t)
				data, err := memory.ReadBody(&zeros{remaining: size}, int64(stated))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(data).To(gomega.HaveLen(size), "%d stated", stated)
			}
		}
	}
}
