package daemon

import (
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

// transferObserver records the decisions about bulk transfers. The counters are looked up once, because every transfer
// uses them.
type transferObserver struct {
	*observer
	counters map[transfer.Event]counter
}

func newTransferObserver(o *observer) *transferObserver {
	t := &transferObserver{observer: o, counters: map[transfer.Event]counter{}}
	for e := transfer.Reserved; e <= transfer.DownloadRejected; e++ {
		t.counters[e] = o.counter("transfers." + e.String())
	}
	return t
}

// decided records one decision. Reservations are only counted, because a line about the call follows.
func (t *transferObserver) decided(d transfer.Decision) {
	t.counters[d.Event].inc()
	if d.Event == transfer.Reserved || !t.allowLine() {
		return
	}
	switch d.Event {
	case transfer.UploadRejected, transfer.DownloadRejected:
		t.log.Info("transfer rejected: the link of this host has no room", "event", d.Event.String(), "request", d.Request,
			"class", d.Class, "bytes", d.Bytes, "retry_after_ms", d.RetryAfter.Milliseconds())
	case transfer.Unreserved:
		t.log.Info("upload without a valid reservation accepted", "request", d.Request, "class", d.Class, "bytes", d.Bytes)
	case transfer.Expired:
		t.log.Info("reservation expired without the body of its upload")
	default:
	}
}

// reservationsUnsupported records that a daemon does not know reservations, so that uploads are sent to it without.
func (o *observer) reservationsUnsupported(host ownership.HostID) {
	o.counter("transfers.unsupported").inc()
	if o.allowLine() {
		o.log.Info("uploads are sent without a reservation: the daemon does not know reservations", "peer", host)
	}
}
