// Package membership tracks the hosts of the mesh: it keeps the local host registered in the store, and holds the store
// values and announcements that daemons exchange by gossip, so that only a few daemons have to read the store.
package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Version orders the states of an entry. For a store value it is the store revision.
type Version uint64

// Entry is a replicated value, or the tombstone of a deleted one.
type Entry struct {
	Key       string  `json:"key"`
	Version   Version `json:"version"`
	Data      []byte  `json:"data,omitempty"`
	IsDeleted bool    `json:"deleted,omitempty"`
	// Value encodes the data when Data is not set: large values are encoded only when a peer requests them.
	Value Encoder `json:"-"`
}

// Encoder is a decoded, immutable value that can be encoded.
type Encoder interface{ Encode() ([]byte, error) }

// Digest summarizes the versions of all entries. Daemons with equal digests have the same entries.
type Digest uint64

// Versions holds the version of each known entry, by key.
type Versions map[string]Version

// Replica holds the newest known state of each store value that all daemons share. It is safe for concurrent use.
type Replica struct {
	mu      sync.RWMutex
	entries map[string]Entry
	digest  Digest
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{entries: map[string]Entry{}} }

// Merge stores an entry if it is newer than the known one, and reports whether it was.
func (b *Replica) Merge(e Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.entries[e.Key]
	if e.Version <= known.Version {
		return false
	}
	// The digest is a sum, so the cost of changing one value does not depend on the number of values.
	b.digest += versionHash(e.Key, e.Version) - versionHash(e.Key, known.Version)
	b.entries[e.Key] = e
	return true
}

func versionHash(key string, version Version) Digest {
	if version == 0 {
		return 0
	}
	data := binary.LittleEndian.AppendUint64([]byte(key), uint64(version))
	return Digest(xxhash.Sum64(data))
}

// Get returns the newest known state of a value. Version zero means that none is known.
func (b *Replica) Get(key string) Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.entries[key]
}

// List returns the values whose key starts with a prefix, ordered by key. Deleted values are omitted.
func (b *Replica) List(prefix string) []Entry {
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

// Digest returns the digest of all values.
func (b *Replica) Digest() Digest {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.digest
}

// Versions returns the version of each value.
func (b *Replica) Versions() Versions {
	b.mu.RLock()
	defer b.mu.RUnlock()
	versions := make(Versions, len(b.entries))
	for key, e := range b.entries {
		versions[key] = e.Version
	}
	return versions
}

// Newer returns the values that are newer than the given versions, ordered by key and with their data encoded.
func (b *Replica) Newer(than Versions) ([]Entry, error) {
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

func (b *Replica) newer(than Versions) []Entry {
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
