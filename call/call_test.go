package call_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

func TestEndReason(t *testing.T) {
	g := gomega.NewWithT(t)
	expired, cancelExpired := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancelExpired()
	left, leave := context.WithCancel(context.Background())
	leave()
	g.Expect(call.EndReason(expired)).To(gomega.Equal(call.Late))
	g.Expect(call.EndReason(left)).To(gomega.Equal(call.CallerGone))
}
