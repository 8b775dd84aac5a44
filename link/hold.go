package link

// newCallShare is the share of the budget up to which new calls may add to it. The rest is left to the responses of the
// calls that run, which are not rejected: a server has already given them.
const newCallShare = 0.75

// SetBudget bounds the memory of incomplete and held bodies together, in bytes. Zero ends the bound for bodies that are
// held from then on.
func (m *Memory) SetBudget(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget = bytes
}

// MemoryUsage is a snapshot of a Memory, in bytes.
type MemoryUsage struct{ Budget, Incomplete, Held int64 }

// Usage returns what bodies take.
func (m *Memory) Usage() MemoryUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryUsage{Budget: m.budget, Incomplete: m.incomplete, Held: m.held}
}

// Hold returns a hold without memory, which must be released.
func (m *Memory) Hold() Hold { return Hold{memory: m} }

// Hold is the memory of the complete bodies of one call. It is empty if the memory has no budget. It is not safe for
// concurrent use.
type Hold struct {
	memory *Memory
	bytes  int64
}

// TryGrow adds memory for the bodies of a new call. It returns false, and adds nothing, if the budget leaves none for new
// calls. Without a budget it adds nothing and returns true.
func (h *Hold) TryGrow(bytes int64) bool {
	m := h.memory
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget == 0 {
		return true
	}
	if float64(m.incomplete+m.held+bytes) > newCallShare*float64(m.budget) {
		return false
	}
	m.held += bytes
	h.bytes += bytes
	return true
}

// Raise makes the hold at least as large as the bodies of a call that has been accepted, whatever the budget.
func (h *Hold) Raise(bytes int64) {
	m := h.memory
	if m == nil || bytes <= h.bytes {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget == 0 {
		return
	}
	m.held += bytes - h.bytes
	h.bytes = bytes
}

// Release gives the memory back.
func (h *Hold) Release() {
	if h.memory == nil || h.bytes == 0 {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.held -= h.bytes
	h.bytes = 0
}
