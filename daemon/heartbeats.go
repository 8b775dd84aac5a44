package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

const (
	// maxHeartbeatWait bounds how long the response to a heartbeat is delayed for keys that are being handed over. The
	// backend server gives up on a response after one second.
	maxHeartbeatWait = 700 * time.Millisecond
	// handoverGrace is how long after its due time an announced handover is still expected.
	handoverGrace = 250 * time.Millisecond
)

// heartbeatResult is the response to a heartbeat, or the error that rejects it.
type heartbeatResult struct {
	response ownership.HeartbeatResponse
	err      error
}

// pendingHeartbeat is the latest heartbeat while its response is delayed for keys whose handover to this host was
// announced. Without the delay, the keys would have no server until the next heartbeat.
type pendingHeartbeat struct {
	ctx      context.Context
	results  chan<- heartbeatResult
	deadline ownership.Instant
	// generation is the generation of the record when the heartbeat arrived, and ownedKeys the number of keys that this
	// host owned then.
	generation ownership.Fence
	ownedKeys  int
}

// announceHandover notifies hosts that they will receive keys from this host.
func (c *control) announceHandover(handover ownership.AnnounceHandover) {
	var to []string
	for _, host := range handover.To {
		if h, isKnown := c.roster.Get(host); isKnown {
			to = append(to, h.ControlAddress)
		}
	}
	c.push(to, peer.Update{Handover: &peer.HandoverNotice{Source: c.self, DelayMS: handover.Delay.Milliseconds()}})
}

// expectHandover records that another host will hand over keys to this host.
func (c *control) expectHandover(now ownership.Instant, notice peer.HandoverNotice) {
	c.expectedHandovers[notice.Source] = now.Add(time.Duration(notice.DelayMS) * time.Millisecond)
}

// queueHeartbeat delays the response to a heartbeat until the expected keys arrive. An earlier heartbeat that is still
// pending gets an empty response, because the backend server has sent a newer one since.
func (c *control) queueHeartbeat(now ownership.Instant, heartbeat pendingHeartbeat) {
	if c.pendingHeartbeat.results != nil {
		c.pendingHeartbeat.results <- heartbeatResult{}
	}
	switch {
	case c.server.state == ownership.ServerReady:
		heartbeat.deadline = c.handoverDeadline(now)
	case c.isKeyed() && c.isConfirming():
		heartbeat.deadline = now.Add(checkTimeout)
	default:
		heartbeat.deadline = now
	}
	if heartbeat.deadline > now {
		// Counting keys walks the whole record, so it is skipped for heartbeats that are answered at once.
		heartbeat.generation, heartbeat.ownedKeys = c.countOwnedKeys()
	}
	c.pendingHeartbeat = heartbeat
}

// handoverDeadline returns the time until which the announced handovers are waited for. It returns now if none is
// expected or all of them are due too late for this heartbeat.
func (c *control) handoverDeadline(now ownership.Instant) ownership.Instant {
	deadline := now
	for source, due := range c.expectedHandovers {
		switch {
		case now > due.Add(handoverGrace):
			delete(c.expectedHandovers, source)
		case due <= now.Add(maxHeartbeatWait):
			deadline = max(deadline, due.Add(handoverGrace))
		}
	}
	return min(deadline, now.Add(maxHeartbeatWait))
}

// countOwnedKeys returns the generation of the known record and the number of keys that it assigns to this host.
func (c *control) countOwnedKeys() (ownership.Fence, int) {
	record, _ := c.machine.KnownRecord()
	if record == nil {
		return 0, 0
	}
	self := record.MemberIndex(c.self)
	if self == ownership.NoMember {
		return record.Generation, 0
	}
	keys, _ := record.CountsByMember()
	return record.Generation, keys[self]
}

// answerPendingHeartbeat responds to the pending heartbeat when its deadline has passed or the expected keys have
// arrived.
func (c *control) answerPendingHeartbeat(now ownership.Instant) {
	pending := &c.pendingHeartbeat
	if pending.results == nil || now < pending.deadline && !c.hasReceivedKeys() {
		return
	}
	response := ownership.HeartbeatResponse{}
	isAlive := c.server.state == ownership.ServerReady || c.server.state == ownership.ServerDraining
	if c.isKeyed() && isAlive && pending.ctx.Err() == nil {
		response = c.machine.HeartbeatResponse(now)
	}
	pending.results <- heartbeatResult{response: response}
	c.pendingHeartbeat = pendingHeartbeat{}
}

// hasReceivedKeys reports whether the record has assigned more keys to this host since the heartbeat arrived.
func (c *control) hasReceivedKeys() bool {
	record, _ := c.machine.KnownRecord()
	if record == nil || record.Generation == c.pendingHeartbeat.generation {
		return false
	}
	generation, keys := c.countOwnedKeys()
	hasMore := keys > c.pendingHeartbeat.ownedKeys
	c.pendingHeartbeat.generation, c.pendingHeartbeat.ownedKeys = generation, keys
	if hasMore {
		clear(c.expectedHandovers)
	}
	return hasMore
}
