package gossip_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

func TestBoardKeepsOnlyNewer(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := gossip.NewBoard(), gossip.NewBoard()
	g.Expect(a.Offer(platform.Entry{Key: "cells/x", Revision: 3})).To(gomega.BeTrue())
	g.Expect(a.Offer(platform.Entry{Key: "cells/x", Revision: 2})).To(gomega.BeFalse())
	g.Expect(a.Offer(platform.Entry{Key: "config", Revision: 4})).To(gomega.BeTrue())
	g.Expect(b.Digest()).NotTo(gomega.Equal(a.Digest()))
	g.Expect(b.Behind(a.Versions())).To(gomega.Equal([]string{"cells/x", "config"}))
	b.Offer(platform.Entry{Key: "cells/x", Revision: 1})
	b.Offer(platform.Entry{Key: "config", Revision: 4})
	b.Offer(platform.Entry{Key: "cells/x", Revision: 3})
	g.Expect(b.Digest()).To(gomega.Equal(a.Digest()), "whatever the way there")
	g.Expect(b.Behind(a.Versions())).To(gomega.BeEmpty())
	g.Expect(a.Under("cells/")).To(gomega.HaveLen(1))
}
