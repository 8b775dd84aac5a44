// Package membership knows the hosts of the mesh: it registers this one in the store, and spreads what few daemons read
// there to all others.
package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Version orders the states of one entry. For what is in the store it is the revision.
type Version uint64

// Entry is one shared value, or the mark that it is gone.
type Entry struct {
	Key       string  `json:"key"`
	Version   Version `json:"version"`
	Data      []byte  `json:"data,omitempty"`
	IsDeleted bool    `json:"deleted,omitempty"`
	// Value encodes the data of an entry that has none: large values are encoded only for those who ask.
	Value Encoder `json:"-"`
}

// Encoder is a decoded value that does not change any more.
type Encoder interface{ Encode() ([]byte, error) }

// Digest sums up the versions of all entries. Daemons with equal digests know the same.
type Digest uint64

// Versions holds the version of each known entry.
type Versions map[string]Version

// Board holds the newest known state of each value of the store that all daemons share. It is safe for concurrent use.
type Board struct {
	mu      sync.RWMutex
	entries map[string]Entry
	digest  Digest
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{entries: map[string]Entry{}} }

// Offer takes in an entry and tells whether it was newer than the known one.
func (b *Board) Offer(e Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.entries[e.Key]
	if e.Version <= known.Version {
		return false
	}
	// The digest is a sum, so that one changed value costs the same whatever the number of values.
	b.digest += sum(e.Key, e.Version) - sum(e.Key, known.Version)
	b.entries[e.Key] = e
	return true
}

func sum(key string, version Version) Digest {
	if version == 0 {
		return 0
	}
	data := binary.LittleEndian.AppendUint64([]byte(key), uint64(version))
	return Digest(xxhash.Sum64(data))
}

// Get returns the newest known state of a value; version zero means none.
func (b *Board) Get(key string) Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.entries[key]
}

// Under returns the values whose key begins with a prefix, in order of their keys. Those that are gone are left out.
func (b *Board) Under(prefix string) []Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var found []Entry
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		if strings.HasPrefix(key, prefix) && !b.entries[key].IsDeleted {
			found = append(found, b.entries[key])
		}
	}
	return found
}

// Digest returns the sum of the versions of all values.
func (b *Board) Digest() Digest {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.digest
}

// Versions returns the version of each value.
func (b *Board) Versions() Versions {
	b.mu.RLock()
	defer b.mu.RUnlock()
	versions := make(Versions, len(b.entries))
	for key, e := range b.entries {
		versions[key] = e.Version
	}
	return versions
}

// Newer returns the values that are newer than some versions, in order of their keys and with their data.
func (b *Board) Newer(than Versions) ([]Entry, error) {
	found := b.newer(than)
	for i, e := range found {
		if e.Data != nil || e.Value == nil {
			continue
		}
		data, err := e.Value.Encode()
		if err != nil {
			return nil, &EntryError{Key: e.Key, Cause: err}
		}
		found[i].Data = data
	}
	return found, nil
}

func (b *Board) newer(than Versions) []Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var found []Entry
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[key]; e.Version > than[key] {
			found = append(found, e)
		}
	}
	return found
}
