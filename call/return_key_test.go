package call_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// TestReturnKey guards against calls that are not recognised when they return with a new request ID, and against other
// calls that are taken for them.
func TestReturnKey(t *testing.T) {
	g := gomega.NewWithT(t)
	base := call.Call{ID: "1", Method: "POST", Host: "h", URI: "/a/1", Body: make([]byte, 60<<10)}
	returned := base
	returned.ID, returned.Origin = "2", "front"
	g.Expect(returned.ReturnKey()).To(gomega.Equal(base.ReturnKey()))
	for name, change := range map[string]func(*call.Call){
		"method":       func(c *call.Call) { c.Method = "PUT" },
		"boundary":     func(c *call.Call) { c.Host, c.URI = "h/a", "/1" },
		"start":        func(c *call.Call) { c.Body = append([]byte{1}, c.Body[1:]...) },
		"end":          func(c *call.Call) { c.Body = append(append([]byte{}, c.Body[1:]...), 1) },
		"longer":       func(c *call.Call) { c.Body = append(append([]byte{}, c.Body...), 0) },
		"without body": func(c *call.Call) { c.Body = nil },
	} {
		other := base
		change(&other)
		g.Expect(other.ReturnKey()).NotTo(gomega.Equal(base.ReturnKey()), name)
	}
}

func BenchmarkReturnKey(b *testing.B) {
	c := call.Call{Method: "POST", Host: "h", URI: "/a/1", Body: make([]byte, 60<<10)}
	for b.Loop() {
		_ = c.ReturnKey()
	}
}
