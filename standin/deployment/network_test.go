package deployment

import (
	"fmt"
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// TestDeploymentsOfTwoProcessesUseDifferentNetworks guards against a test that fails because another process runs
// deployments on the same machine.
func TestDeploymentsOfTwoProcessesUseDifferentNetworks(t *testing.T) {
	g := gomega.NewWithT(t)
	first := &Deployment{}
	listener, err := first.listenOnFreeNetwork()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	networkCount.Add(-1) // as in another process whose ID leads to the same network
	second := &Deployment{}
	other, err := second.listenOnFreeNetwork()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer other.Close()
	g.Expect(second.ipPrefix).NotTo(gomega.Equal(first.ipPrefix))
	for _, l := range []net.Listener{listener, other} {
		g.Expect(fmt.Sprint(l.Addr())).To(gomega.HaveSuffix(fmt.Sprint(":", storePort)))
	}
}
