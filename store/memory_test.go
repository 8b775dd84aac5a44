package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/store"
)

func TestConditionalCommit(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	m := store.NewMemory(clockwork.NewFakeClock())
	first, err := m.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: "a"}},
		Puts:       []store.Put{{Key: "a", Value: []byte("1")}},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = m.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: "a"}, {Key: "b"}},
		Puts:       []store.Put{{Key: "b", Value: []byte("2")}},
	})
	var conflict *store.ConflictError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(conflict))
	g.Expect(err.(*store.ConflictError).Current[0].Revision).To(gomega.Equal(first))
	item, err := m.Get(ctx, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(item.Revision).To(gomega.BeZero(), "a transaction with a failed condition writes nothing")
}

func TestItemsAreDeletedWithTheirLease(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	m := store.NewMemory(clock)
	lease, err := m.Grant(ctx, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	put := store.Txn{Puts: []store.Put{{Key: "host", Value: []byte("x"), Lease: lease}}}
	written, err := m.Commit(ctx, put)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	clock.Advance(900 * time.Millisecond)
	g.Expect(m.Renew(ctx, lease)).To(gomega.Succeed())
	clock.Advance(900 * time.Millisecond)
	item, err := m.Get(ctx, "host")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(item.Revision).To(gomega.Equal(written))
	clock.Advance(200 * time.Millisecond)
	g.Expect(m.Renew(ctx, lease)).To(gomega.BeAssignableToTypeOf(&store.LeaseEndedError{}))
	changes, err := m.Watch(ctx, "", written)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes.Items).To(gomega.HaveLen(1))
	g.Expect(changes.Items[0].IsDeleted).To(gomega.BeTrue())
	_, err = m.Commit(ctx, put)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&store.LeaseEndedError{}))
}

func TestWatchAfterCompaction(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	m := store.NewMemory(clockwork.NewFakeClock())
	for range 3 {
		_, err := m.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a"}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	m.Compact()
	_, err := m.Watch(ctx, "", 1)
	g.Expect(err).To(gomega.Equal(&store.CompactedError{After: 1}))
}

// TestRestoredStoreGivesOutRevisionsAgain checks what a restore loses, and that revisions of different eras differ.
func TestRestoredStoreGivesOutRevisionsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	m := store.NewMemory(clockwork.NewFakeClock())
	put := func(value string) store.Revision {
		revision, err := m.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte(value)}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return revision
	}
	put("kept")
	backup := m.Copy()
	lost := put("lost")
	newest := put("lost too")
	m.Restore(backup)
	item, err := m.Get(ctx, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(item.Value).To(gomega.Equal([]byte("kept")))
	_, err = m.Watch(ctx, "", newest)
	g.Expect(err).To(gomega.Equal(&store.CompactedError{After: newest}))
	again := put("new")
	g.Expect(again.Counter()).To(gomega.Equal(lost.Counter()))
	g.Expect(again.Era()).To(gomega.Equal(lost.Era() + 1))
	g.Expect(again).To(gomega.BeNumerically(">", newest), "revisions order the changes across restores")
}

func TestRevisionsOutOfRange(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := store.NewRevision(1, 1<<44)
	g.Expect(err).To(gomega.Equal(&store.RevisionError{Era: 1, Counter: 1 << 44}))
	_, err = store.NewRevision(1<<20, 1)
	g.Expect(err).To(gomega.Equal(&store.RevisionError{Era: 1 << 20, Counter: 1}))
}

func ExampleRevision() {
	before, _ := store.NewRevision(1, 900)
	after, _ := store.NewRevision(2, 17)
	fmt.Println(before, after, after > before)
	// Output: 1/900 2/17 true
}
