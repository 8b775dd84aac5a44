package membership

import (
	"encoding/json"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Departure records that an instance of a host's backend server has announced its end. It outlives the daemon process
// that acknowledged the announcement: a heartbeat that was sent before may reach a later one.
type Departure struct {
	Instance ownership.Instance `json:"instance"`
	// Version orders the departures of a host, whose daemon alone writes them.
	Version Version `json:"version"`
}

// Covers reports whether the departure is that of an instance. A departure without a start time covers all instances with
// its ID.
func (d Departure) Covers(instance ownership.Instance) bool {
	isSameLife := d.Instance.Born == 0 || d.Instance.Born == instance.Born
	return d.Instance.ID != "" && d.Instance.ID == instance.ID && isSameLife
}

// Entry returns the departure as a replicated value.
func (d Departure) Entry(key string) (Entry, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return Entry{}, &EntryError{Key: key, Cause: err}
	}
	return Entry{Key: key, Version: d.Version, Data: data}, nil
}
