// Package gossip keeps the newest known values of the store in a daemon and spreads them between daemons.
package gossip

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkrelay/skylarkrelay/platform"
)

// Board holds the newest known version of each shared value. It is safe for concurrent use.
type Board struct {
	mu      sync.RWMutex
	entries map[string]platform.Entry
	digest  Digest
}

// Digest sums up the versions of all values. Daemons with equal digests know the same.
type Digest uint64

// Versions holds the revision of each known value.
type Versions map[string]platform.Revision

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{entries: map[string]platform.Entry{}} }

// Offer takes in a value and tells whether it was newer than the known one.
func (b *Board) Offer(e platform.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.entries[e.Key]
	if e.Revision <= known.Revision {
		return false
	}
	// The digest is a sum, so that one changed value costs the same whatever the number of values.
	b.digest += sum(e.Key, e.Revision) - sum(e.Key, known.Revision)
	b.entries[e.Key] = e
	return true
}

func sum(key string, revision platform.Revision) Digest {
	if revision == 0 {
		return 0
	}
	data := binary.LittleEndian.AppendUint64([]byte(key), uint64(revision))
	return Digest(xxhash.Sum64(data))
}

// Get returns the newest known version of a value; revision zero means none.
func (b *Board) Get(key string) platform.Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.entries[key]
}

// Under returns the values whose key begins with a prefix, in order of their keys.
func (b *Board) Under(prefix string) []platform.Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var found []platform.Entry
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, b.entries[key])
		}
	}
	return found
}

// Digest returns the sum of all versions.
func (b *Board) Digest() Digest {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.digest
}

// Versions returns the revision of each known value.
func (b *Board) Versions() Versions {
	b.mu.RLock()
	defer b.mu.RUnlock()
	versions := make(Versions, len(b.entries))
	for key, e := range b.entries {
		versions[key] = e.Revision
	}
	return versions
}

// Behind returns the keys whose version there is newer than the known one, in order.
func (b *Board) Behind(there Versions) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var keys []string
	for key, revision := range there {
		if revision > b.entries[key].Revision {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
