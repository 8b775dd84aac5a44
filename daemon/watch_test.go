package daemon

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// slowListStore is a store whose lists take until the context ends.
type slowListStore struct{ store.Store }

// List implements store.Store.
func (slowListStore) List(ctx context.Context, _ string) (store.Snapshot, error) {
	<-ctx.Done()
	return store.Snapshot{}, ctx.Err()
}

// TestConfigurationDoesNotWaitForTheOtherValues guards against an old configuration on a new watcher that reads the whole
// store over a slow link.
func TestConfigurationDoesNotWaitForTheOtherValues(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := store.NewMemory(clockwork.NewRealClock())
	putConfig(t, memory, 7)
	d := newDaemon(t, slowListStore{memory})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := d.control.readAll(ctx)
		ended <- err
	}()
	g.Eventually(func() class.Version { return configVersion(d) }, configApplyTime).Should(
		gomega.Equal(class.Version(7)))
	cancel()
	g.Eventually(ended).Should(gomega.Receive(gomega.HaveOccurred()))
}
