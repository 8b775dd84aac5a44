package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// noticeInterval is how often a witness repeats that a member is silent.
const noticeInterval = 500 * time.Millisecond

// promise is all that a witness keeps for a member.
type promise struct {
	service class.Service
	// until is the end of the newest vouch.
	until time.Time
	// sealed is the highest generation whose claims are refused.
	sealed Generation
	// listed says that the newest record names this witness for the member.
	listed bool
	// nextNotice is when silence is told again.
	nextNotice time.Time
}

// Witness vouches for members and seals them for takers. It forgets everything when its process ends, so
// requests that address another incarnation are refused.
type Witness struct {
	self     Ref
	vouch    time.Duration
	promises map[Ref]*promise
}

// NewWitness returns the witness role of one daemon. Vouches last for the given time from receipt.
func NewWitness(self Ref, vouch time.Duration) *Witness {
	return &Witness{self: self, vouch: vouch, promises: map[Ref]*promise{}}
}

// Learn takes note of the members that a record lists this witness for, so that one that never asks is found silent too.
func (w *Witness) Learn(now time.Time, r *Record) {
	named := map[Ref]bool{}
	for _, m := range r.Members {
		if !slices.Contains(m.Witnesses, w.self) {
			continue
		}
		named[m.Ref] = true
		p, known := w.promises[m.Ref]
		if !known {
			p = &promise{}
			w.promises[m.Ref] = p
		}
		if !p.listed {
			p.until = later(p.until, now.Add(w.vouch)) // it needs time to ask for its first vouch
		}
		p.listed = true
		p.service = r.Service
	}
	for ref, p := range w.promises {
		if p.service == r.Service && !named[ref] {
			p.listed = false
		}
	}
}

// Vouch answers a request to vouch.
func (w *Witness) Vouch(now time.Time, req VouchRequest) []Effect {
	reply := VouchReply{Member: req.Member, Witness: req.Witness, Sequence: req.Sequence}
	if req.Witness != w.self {
		reply.Restarted = true
		return []Effect{Send{To: req.Member, Message: reply}}
	}
	if req.Probe {
		reply.Probe = true
		return []Effect{Send{To: req.Member, Message: reply}}
	}
	p := w.promise(req.Member, req.Service)
	reply.Sealed = p.sealed
	reply.Granted = req.Generation > p.sealed
	if reply.Granted {
		p.until = later(p.until, now.Add(w.vouch))
		p.nextNotice = p.until
	}
	return []Effect{Send{To: req.Member, Message: reply}}
}

// Seal answers a taker. A seal is never lifted.
func (w *Witness) Seal(now time.Time, req SealRequest) []Effect {
	if req.Witness != w.self {
		return nil
	}
	p := w.promise(req.Member, "")
	p.sealed = max(p.sealed, req.Generation)
	reply := SealReply{
		Member:     req.Member,
		Witness:    w.self,
		Generation: req.Generation,
		Remaining:  max(0, p.until.Sub(now)),
	}
	return []Effect{Send{To: req.Taker, Message: reply}}
}

// Tick tells the cells of members whose vouches have run out.
func (w *Witness) Tick(now time.Time) []Effect {
	var effects []Effect
	for ref, p := range w.promises {
		if !p.listed || now.Before(p.until) || now.Before(p.nextNotice) {
			continue
		}
		p.nextNotice = now.Add(noticeInterval)
		effects = append(effects, Notify{SilenceNotice{Service: p.service, Member: ref, Witness: w.self}})
	}
	slices.SortFunc(effects, func(a, b Effect) int {
		return strings.Compare(a.(Notify).Notice.Member.String(), b.(Notify).Notice.Member.String())
	})
	return effects
}

// Vouched returns how many members hold an unexpired vouch.
func (w *Witness) Vouched(now time.Time) int {
	count := 0
	for _, p := range w.promises {
		if now.Before(p.until) {
			count++
		}
	}
	return count
}

func (w *Witness) promise(ref Ref, service class.Service) *promise {
	p, known := w.promises[ref]
	if !known {
		p = &promise{service: service}
		w.promises[ref] = p
	}
	if service != "" {
		p.service = service
	}
	return p
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
