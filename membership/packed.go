package membership

import (
	"encoding/binary"
	"math"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// PackedFormat is the version of the packed encoding of announcements. A host states in its presence which version it
// reads. JSON announcements are read by all versions. Format 1 has no run times.
const PackedFormat = 2

// oldestPackedFormat is the oldest format that this version reads.
const oldestPackedFormat = 1

// loadUnit is the resolution of a packed load, in running calls.
const loadUnit = 0.001

// Bits of the flags of a packed announcement.
const (
	flagUsable = 1 << iota
	flagReady
	flagShuttingDown
	flagStoreUnreachable
	flagRunTimes
)

// PackedError reports packed announcements that cannot be decoded.
type PackedError struct{ Reason string }

// Error implements error.
func (e *PackedError) Error() string { return "packed announcements: " + e.Reason }

// PackAnnouncements encodes announcements for hosts that read PackedFormat. They are sent far more often than anything
// else between daemons, and decoding them as JSON objects would be most of the cost of control.
//
// The encoding is a format byte followed by the announcements. Each consists of its host, service and instance ID as
// length-prefixed strings, and its other fields as varints. If there are run times, they follow as a string.
func PackAnnouncements(announcements []Announcement) []byte {
	data := []byte{PackedFormat}
	for _, a := range announcements {
		data = appendString(data, string(a.Host))
		data = appendString(data, string(a.Service))
		data = appendString(data, a.Instance.ID)
		data = binary.AppendVarint(data, a.Instance.Born)
		for _, value := range []uint64{
			uint64(a.Epoch),
			uint64(a.Sequence),
			a.flags(),
			uint64(max(0, a.Concurrency)),
			uint64(max(0, math.Round(a.Load/loadUnit))),
			uint64(max(0, a.WarmupMS)),
		} {
			data = binary.AppendUvarint(data, value)
		}
		if a.RunTimes != "" {
			data = appendString(data, a.RunTimes)
		}
	}
	return data
}

func appendString(data []byte, text string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(text))), text...)
}

func (a Announcement) flags() uint64 {
	return flagIf(a.IsUsable, flagUsable) | flagIf(a.IsReady, flagReady) |
		flagIf(a.IsShuttingDown, flagShuttingDown) | flagIf(a.IsStoreUnreachable, flagStoreUnreachable) |
		flagIf(a.RunTimes != "", flagRunTimes)
}

func flagIf(isSet bool, flag uint64) uint64 {
	if isSet {
		return flag
	}
	return 0
}

// UnpackAnnouncements decodes announcements that PackAnnouncements encoded. The error is a PackedError.
func UnpackAnnouncements(data []byte) ([]Announcement, error) {
	if len(data) == 0 || data[0] < oldestPackedFormat || data[0] > PackedFormat {
		return nil, &PackedError{Reason: "unknown format"}
	}
	u := unpacker{rest: data[1:]}
	var announcements []Announcement
	for len(u.rest) > 0 && !u.isTruncated {
		a := Announcement{Host: ownership.HostID(u.text()), Service: class.Service(u.text())}
		a.Instance = ownership.Instance{ID: u.text(), Born: u.varint()}
		a.Epoch, a.Sequence = ownership.Epoch(u.uvarint()), uint32(u.uvarint())
		flags := u.uvarint()
		a.IsUsable, a.IsReady = flags&flagUsable != 0, flags&flagReady != 0
		a.IsShuttingDown, a.IsStoreUnreachable = flags&flagShuttingDown != 0, flags&flagStoreUnreachable != 0
		a.Concurrency = int(u.uvarint())
		a.Load = float64(u.uvarint()) * loadUnit
		a.WarmupMS = int64(u.uvarint())
		if flags&flagRunTimes != 0 {
			a.RunTimes = u.text()
		}
		announcements = append(announcements, a)
	}
	if u.isTruncated {
		return nil, &PackedError{Reason: "truncated"}
	}
	return announcements, nil
}

// unpacker decodes the fields of packed announcements. After a truncated field it returns zero values.
type unpacker struct {
	rest        []byte
	isTruncated bool
}

func (u *unpacker) uvarint() uint64 {
	value, n := binary.Uvarint(u.rest)
	u.skip(n)
	return value
}

func (u *unpacker) varint() int64 {
	value, n := binary.Varint(u.rest)
	u.skip(n)
	return value
}

// skip removes the n bytes of a varint, where n <= 0 means that there was none.
func (u *unpacker) skip(n int) {
	if n <= 0 {
		u.rest, u.isTruncated = nil, true
		return
	}
	u.rest = u.rest[n:]
}

func (u *unpacker) text() string {
	length := u.uvarint()
	if length > uint64(len(u.rest)) {
		u.rest, u.isTruncated = nil, true
		return ""
	}
	text := string(u.rest[:length])
	u.rest = u.rest[length:]
	return text
}
