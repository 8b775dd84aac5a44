package daemon

import (
	"strconv"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
)

// countedOffers is the highest number of an offer that has its own counter.
const countedOffers = 4

// offerObserver records the bounded offers of calls. The counters are looked up once, because every call uses them.
type offerObserver struct {
	*observer
	byNumber        [countedOffers]counter
	rejectedByBound counter
	rejectedByLink  counter
	rejected        counter
	rejectedAtEntry counter
	returns         *returnObserver
}

func newOfferObserver(o *observer) *offerObserver {
	offers := &offerObserver{
		observer:        o,
		rejectedByBound: o.counter("offers.rejected_by_bound"),
		rejectedByLink:  o.counter("offers.rejected_by_link"),
		rejected:        o.counter("offers.rejected_last"),
		rejectedAtEntry: o.counter("offers.rejected_at_entry"),
		returns:         newReturnObserver(o),
	}
	for i := range offers.byNumber {
		offers.byNumber[i] = o.counter("offers.number_" + strconv.Itoa(i+1))
	}
	return offers
}

// offered records one offer. Offers that are followed by another one are logged only at debug level.
func (o *offerObserver) offered(offer caller.Offer) {
	if offer.Number == 0 {
		o.rejectedAtEntry.inc()
		if o.allowLine() {
			o.log.Info("call rejected without an offer: the service has no capacity for its class",
				"request", offer.Call.ID, "class", offer.Call.Class.Name, "service", offer.Call.Service,
				"retry_after_ms", offer.Result.RetryAfter.Milliseconds())
		}
		return
	}
	o.byNumber[min(offer.Number, countedOffers)-1].inc()
	isFinal := offer.IsLast || !offer.Result.Reason.IsAdmissionRejection()
	if offer.Call.IsReturn && isFinal {
		o.returns.returned(offer.Call, offer.Result)
	}
	if !offer.Result.Reason.IsAdmissionRejection() {
		return
	}
	switch offer.Result.Reason {
	case call.WaitExceeded:
		o.rejectedByBound.inc()
	case call.LinkFull:
		o.rejectedByLink.inc()
	default:
	}
	if offer.IsLast {
		o.rejected.inc()
	} else if !o.log.IsDebug() {
		return
	}
	if !o.allowLine() {
		return
	}
	o.log.Info("offer rejected", "request", offer.Call.ID, "class", offer.Call.Class.Name, "service", offer.Call.Service,
		"to", offer.Host, "number", offer.Number, "last", offer.IsLast, "reason", offer.Result.Reason.String(),
		"max_wait_ms", offer.Call.MaxWait.Milliseconds(), "took_ms", offer.Duration.Milliseconds(),
		"retry_after_ms", offer.Result.RetryAfter.Milliseconds())
}
