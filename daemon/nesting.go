package daemon

import (
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// nestingObserver returns the observer that records what is inferred about nested calls.
func (o *observer) nestingObserver() dependency.Observer {
	return dependency.Observer{NestedChanged: o.nestedChanged}
}

// nestedChanged records that a class of this host's service starts or ceases to count as nested.
func (o *observer) nestedChanged(name class.Name, origin class.Service, isNested bool) {
	o.counter("nested.changes").inc()
	if !o.allowLine() {
		return
	}
	if isNested {
		o.log.Info("class counts as nested: only the servers of one service call it", "class", name, "caller", origin)
	} else {
		o.log.Info("class no longer counts as nested", "class", name, "caller", origin)
	}
}
