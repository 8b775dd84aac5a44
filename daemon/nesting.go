package daemon

import (
	"fmt"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// nestingObserver returns the observer that records what is inferred and decided about nested calls.
func (o *observer) nestingObserver() dependency.Observer {
	rejected := o.counter("nested.rejected_runs")
	return dependency.Observer{
		NestedChanged:    o.nestedChanged,
		RejectionChanged: o.rejectionChanged,
		RunRejected:      func(class.Name) { rejected.inc() },
	}
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

// rejectionChanged records that runs start or cease to be rejected because their nested calls fail.
func (o *observer) rejectionChanged(r dependency.Rejection) {
	o.counter("nested.rejection_changes").inc()
	if !o.allowLine() {
		return
	}
	message := "runs are admitted again"
	if r.IsRejecting {
		message = "runs are rejected: their nested calls fail for lack of capacity"
	}
	o.log.Info(message, "runs", r.Runs, "nested", r.Nested, "failed", fmt.Sprintf("%.2f", r.FailedShare),
		"calls_per_run", fmt.Sprintf("%.2f", r.CallsPerRun), "admitted", fmt.Sprintf("%.2f", r.Admitted),
		"rejected", r.Rejected)
}
