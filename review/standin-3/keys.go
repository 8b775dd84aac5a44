package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// heldRow is a range of keys that a server holds.
type heldRow struct {
	from, to uint16
	fence    uint64
}

func (r heldRow) has(key uint16) bool { return r.from <= key && key <= r.to }

// heldKeys is what one life of a server holds, and what it has released since its last acknowledged heartbeat.
type heldKeys struct {
	rows     []heldRow
	until    time.Time
	released []heldRow
	reported int
	// seen maps each key to the highest fence that the server has seen, once it has seen any.
	seen map[uint16]uint64
}

// report returns the rows of a heartbeat: what is held, and what was released.
func (k *heldKeys) report(now time.Time) (holds [][3]uint64, released [][3]any) {
	holds, released = [][3]uint64{}, [][3]any{}
	if now.Before(k.until) {
		for _, r := range k.rows {
			holds = append(holds, [3]uint64{uint64(r.from), uint64(r.to), r.fence})
		}
	}
	for _, r := range k.released {
		released = append(released, [3]any{r.from, r.to, fmt.Sprintf("%016x", rand.Uint64())})
	}
	k.reported = len(k.released)
	return holds, released
}

// apply applies the response to a heartbeat that was sent at a time, and reports whether keys were released.
func (k *heldKeys) apply(data []byte, sentAt time.Time) (hasReleased bool) {
	k.released = k.released[k.reported:]
	k.reported = 0
	var response struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if json.Unmarshal(data, &response) != nil || response.Holds == nil {
		return false // nothing is renewed
	}
	if k.seen == nil {
		k.seen = map[uint16]uint64{}
	}
	wereHeld := time.Now().Before(k.until)
	var rows []heldRow
	isKept := make([]bool, 1<<16)
	for _, row := range *response.Holds {
		r := heldRow{from: uint16(row[0].(float64)), to: uint16(row[1].(float64)), fence: uint64(row[2].(float64))}
		isAccepted := true
		for key := int(r.from); key <= int(r.to); key++ {
			isAccepted = isAccepted && k.seen[uint16(key)] <= r.fence
		}
		if !isAccepted {
			continue
		}
		for key := int(r.from); key <= int(r.to); key++ {
			k.seen[uint16(key)], isKept[key] = r.fence, true
		}
		rows = append(rows, r)
	}
	if wereHeld {
		for _, r := range k.rows {
			for key := int(r.from); key <= int(r.to); key++ {
				if isKept[key] {
					continue
				}
				end := key
				for end < int(r.to) && !isKept[end+1] {
					end++
				}
				k.released = append(k.released, heldRow{from: uint16(key), to: uint16(end), fence: r.fence})
				hasReleased = true
				key = end
			}
		}
	}
	k.rows = rows
	k.until = sentAt.Add(time.Duration(response.HoldMS) * time.Millisecond)
	return hasReleased
}

// holds reports whether a key is held.
func (k *heldKeys) holds(now time.Time, key uint16) bool {
	if !now.Before(k.until) {
		return false
	}
	for _, r := range k.rows {
		if r.has(key) {
			return true
		}
	}
	return false
}
