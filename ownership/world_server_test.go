package ownership_test

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// beatLoop sends the server's heartbeats, one after the other.
func (w *world) beatLoop(h *worldHost) {
	pause := beatInterval
	for _, g := range h.server.holds.Runs() {
		if g.isOver {
			pause = beatInterval / 10
		}
	}
	w.after(pause+time.Duration(w.random.Int64N(int64(beatInterval/5))), func() { w.beat(h, func() { w.beatLoop(h) }) })
}

func (w *world) beat(h *worldHost, next func()) {
	s := &h.server
	if !s.isUp {
		next()
		return
	}
	s.sequence++
	beat := ownership.Heartbeat{Instance: s.instance, Service: "s", Places: 4, Sequence: s.sequence}
	w.lapse(s)
	for span, g := range s.holds.Runs() {
		if g.until != 0 {
			beat.Holds = append(beat.Holds, ownership.Hold{Span: span, Fence: g.fence})
		}
	}
	beat.Released = s.released
	sentAt, life, instance := w.now, h.life, s.instance
	settled := false
	settle := func(do func()) {
		if !settled {
			settled = true
			if s.isUp && s.instance == instance && do != nil {
				do()
			}
			next()
		}
	}
	w.after(100*time.Millisecond, func() { settle(nil) })
	w.after(w.delay()/4, func() {
		w.onDaemon(h, life, func() {
			now := w.instant(h)
			w.effects(h, h.machine.SetServer(now, ownership.ServerReady))
			w.effects(h, h.machine.Heartbeat(now, beat))
			answer := func() {
				orders := h.machine.Orders(w.instant(h))
				if orders.Hold > 0 && w.flaw == holdBeyondAuthority {
					orders.Hold = worldTiming().Hold
				}
				w.after(w.delay()/4, func() { settle(func() { w.obey(h, orders, sentAt) }) })
			}
			if w.random.IntN(4) > 0 {
				answer()
				return
			}
			// The daemon lets the answer wait for keys that were promised to it.
			w.after(time.Duration(w.random.Int64N(int64(80*time.Millisecond))), func() {
				if !settled {
					w.onDaemon(h, life, answer)
				}
			})
		})
	})
}

// lapse drops the holds that have run out.
func (w *world) lapse(s *worldServer) {
	holds := s.holds.Clone()
	for span, g := range holds.Runs() {
		if g.until != 0 && g.until <= w.now {
			s.holds.Set(span, grip{})
		}
	}
}

// obey takes up orders: what is left out is released, at times after some work on it has ended.
func (w *world) obey(h *worldHost, orders ownership.Orders, sentAt time.Duration) {
	s := &h.server
	s.released = nil
	w.note("%s obeys orders of %d rows for %s, sent for a heartbeat of %s", s.instance, len(orders.Grants), orders.Hold, sentAt)
	for _, g := range orders.Grants {
		if g.Span.Contains(w.watched) {
			w.note("  row %d to %d fence %d", g.Span.From, g.Span.To, g.Fence)
		}
	}
	if orders.Hold <= 0 {
		return
	}
	until := sentAt + time.Duration(float64(orders.Hold)/s.rate)
	var granted keyspace.Map[bool]
	for _, g := range orders.Grants {
		granted.Set(g.Span, true)
		w.hold(h, g, until)
	}
	holds := s.holds.Clone()
	for span, isGranted := range granted.Runs() {
		if isGranted {
			continue
		}
		for part, g := range holds.Within(span) {
			if g.until == 0 {
				continue
			}
			if w.random.IntN(4) == 0 && !g.isOver {
				g.isOver = true // work goes on until the next heartbeat
				s.holds.Set(part, g)
				continue
			}
			s.holds.Set(part, grip{})
			s.released = append(s.released, ownership.Release{Span: part, Handover: "h"})
		}
	}
}

// hold makes a server hold keys, and checks that nobody else does and that its fence is above all others'.
func (w *world) hold(h *worldHost, g ownership.Grant, until time.Duration) {
	s := &h.server
	for _, fence := range s.seen.Within(g.Span) {
		if fence > g.Fence {
			return // not accepted
		}
	}
	if until <= w.now {
		return
	}
	for _, other := range w.hosts {
		if other == h || !other.server.isUp {
			continue
		}
		for span, held := range other.server.holds.Within(g.Span) {
			if held.until > w.now {
				w.fail("%s and %s hold %d to %d", h.id, other.id, span.From, span.To)
			}
		}
	}
	for span, holder := range w.lastHolder.Within(g.Span) {
		if holder == s.instance || holder == (ownership.Instance{}) {
			continue
		}
		if fence := w.lastFence.At(span.From); fence >= g.Fence {
			w.fail("%s got %d to %d under fence %d, not above %d", h.id, span.From, span.To, g.Fence, fence)
		}
	}
	w.lastHolder.Set(g.Span, s.instance)
	w.lastFence.Set(g.Span, g.Fence)
	s.seen.Set(g.Span, g.Fence)
	s.holds.Set(g.Span, grip{until: until, fence: g.Fence})
}
