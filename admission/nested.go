package admission

import (
	"cmp"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// nestingAware is implemented by policies that order nested classes before others of the same rank.
type nestingAware interface {
	SetLoadAware(isLoadAware bool)
	SetNested(name class.Name, isNested bool)
}

// compareLoadAware orders classes of the same rank. Nested classes come first: if one of their calls fails, the run time
// of the call that made it is lost as well. The others are ordered by their latency target, since a call that has less
// time cannot wait for one that has more.
func compareLoadAware(a, b *classState) int {
	switch {
	case a.isNested && !b.isNested:
		return -1
	case b.isNested && !a.isNested:
		return 1
	default:
		return cmp.Or(cmp.Compare(a.class.Latency, b.class.Latency), cmp.Compare(a.class.Name, b.class.Name))
	}
}

// SetLoadAware sets whether classes of the same rank are ordered by nesting and latency target instead of their name. If
// that changes, no class is nested until SetNested.
func (t *TargetPolicy) SetLoadAware(isLoadAware bool) {
	if t.isLoadAware == isLoadAware {
		return
	}
	t.isLoadAware = isLoadAware
	for _, s := range t.states {
		s.isNested = false
	}
	t.reorder()
}

// SetNested sets whether a class is nested. It has no effect on a class that is not known.
func (t *TargetPolicy) SetNested(name class.Name, isNested bool) {
	s := t.states[name]
	if s == nil || s.isNested == isNested {
		return
	}
	s.isNested = isNested
	t.reorder()
}

// reorder orders the classes again and divides the capacity among them in the new order.
func (t *TargetPolicy) reorder() {
	t.sortClasses()
	t.setGuarantees()
}

// SetLoadAware sets whether the policy orders classes of the same rank by nesting and latency target, if it can.
func (c *Controller) SetLoadAware(isLoadAware bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.policy.(nestingAware); ok {
		p.SetLoadAware(isLoadAware)
	}
}

// SetNested sets whether a class is nested. The class is added if it is not known.
func (c *Controller) SetNested(callClass *class.Class, isNested bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.policy.(nestingAware); ok {
		c.policy.UpdateClass(c.clock.Now(), callClass)
		p.SetNested(callClass.Name, isNested)
	}
}
