package call_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// A load header that cannot be read must not be taken for an idle server.
func TestParseServerLoad(t *testing.T) {
	for text, want := range map[string]*call.ServerLoad{
		"3,0,8":          {Running: 3, Slots: 8, Slowdown: 1},
		"6, 12, 6, 300":  {Running: 6, Waiting: 12, Slots: 6, Slowdown: 3},
		"3,0":            nil,
		"3,0,0":          nil,
		"3,0,8,0":        nil,
		"3,0,8,100,1":    nil,
		"-1,0,8":         nil,
		"NaN,0,8":        nil,
		"3,0,8,Inf":      nil,
		"9999999999,0,8": nil,
		"busy":           nil,
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			load, err := call.ParseServerLoad("Skylark-Server-Load", text)
			g.Expect(load).To(Equal(want))
			g.Expect(err == nil).To(Equal(want != nil))
		})
	}
}
