package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestRequestTargetsAreSentAsTheyAre guards against targets that reach the server with other bytes. Those that begin with two
// slashes were escaped once more by each hop.
func TestRequestTargetsAreSentAsTheyAre(t *testing.T) {
	for _, target := range []string{
		"/", "/menus/fried%20fish", "//menus/fried%20fish", "//menus/fried%20fish?q=%2F&r=a+b", "//a|b/%7C", "///", "//", "//x?",
		"/x?", "/a//b", "//user@host:80/x", "/%2e%2E/x", "//%C3%A9/é",
	} {
		t.Run(target, func(t *testing.T) {
			g := gomega.NewWithT(t)
			received := make(chan string, 1)
			address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				received <- r.RequestURI
				w.Header().Set(headerNames.RequestID, "id-1")
				w.Header().Set(headerNames.Signature, "s")
			})
			r, _ := newRunner(address, unchanged)
			c := newCall(time.Second)
			c.URI = target
			g.Expect(r.Run(context.Background(), c).Outcome).To(gomega.Equal(class.Answered))
			g.Expect(<-received).To(gomega.Equal(target))
		})
	}
}
