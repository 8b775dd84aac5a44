package peer_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestEmptyStoreCallIsRejected covers a call that sets no field, such as a read of the empty key.
func TestEmptyStoreCallIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	result := peer.ExecuteStoreCall(context.Background(), store.NewMemory(clockwork.NewFakeClock()), peer.StoreCall{})
	g.Expect(result.Rejected).NotTo(gomega.BeEmpty())
}
