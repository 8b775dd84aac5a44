package call_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// TestFingerprintsTellRequestsApart checks what makes two requests the same to a backend server.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	base := call.Call{ID: "1", Origin: "o", Method: "GET", Host: "h", URI: "/a", Body: []byte("x")}
	same := base
	same.ID, same.Service = "2", "s"
	g.Expect(same.Fingerprint()).To(gomega.Equal(base.Fingerprint()))
	for _, other := range []call.Call{
		{Origin: "p", Method: "GET", Host: "h", URI: "/a", Body: []byte("x")},
		{Origin: "o", Method: "POST", Host: "h", URI: "/a", Body: []byte("x")},
		{Origin: "o", Method: "GET", Host: "i", URI: "/a", Body: []byte("x")},
		{Origin: "o", Method: "GET", Host: "h", URI: "/a?", Body: []byte("x")},
		{Origin: "o", Method: "GET", Host: "h", URI: "/a", Body: []byte("y")},
		{Origin: "o", Method: "GET", Host: "h", URI: "/ax", Body: nil},
	} {
		g.Expect(other.Fingerprint()).NotTo(gomega.Equal(base.Fingerprint()), "%+v", other)
	}
	text, err := base.Fingerprint().MarshalText()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var decoded call.Fingerprint
	g.Expect(decoded.UnmarshalText(text)).To(gomega.Succeed())
	g.Expect(decoded).To(gomega.Equal(base.Fingerprint()))
	g.Expect(decoded.UnmarshalText([]byte("short"))).To(gomega.Equal(&call.FingerprintError{Text: "short"}))
}
