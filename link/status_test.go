package link_test

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

// TestInvalidStatusIsNoResponse guards against a status outside of 200 to 599 that reaches a caller. Package net/http
// reads some of them, such as "+20" as 20, and panics when it is told to write a status below 100.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
		rest    = "Id: 1\r\nContent-Length: 2\r\n\r\nok"
	)
	for _, status := range []string{
		"000", "020", "099", "+20", "-20", "600", "700", "999", "20", "2000", "2x0", "0x1", " ", "-00", "+00",
	} {
		for name, before := range map[string]string{"": "", " after an informational response": interim} {
			t.Run(status+name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				address, accepted := startServer(t, before+"HTTP/1.1 "+status+" Text\r\n"+rest, okResponse)
				p := newPool(address)
				defer p.Close()
				response, err := get(p, "1")
				var lost *link.LostError
				g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "the call may have run: %v, %+v", err, response)
				g.Expect(response).To(gomega.BeNil())
				var invalid *link.StatusError
				if errors.As(err, &invalid) {
					g.Expect(invalid.Status).To(gomega.Equal(status))
				}
				_, err = get(p, "1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(accepted()).To(gomega.Equal(2), "the connection is not used again")
			})
		}
	}
}

// TestValidStatuses checks the ends of the range of final statuses.
func TestValidStatuses(t *testing.T) {
	for status, expected := range map[string]int{"200": 200, "299": 299, "418": 418, "599": 599} {
		t.Run(status, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, _ := startServer(t, "HTTP/1.1 "+status+"\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			p := newPool(address)
			defer p.Close()
			response, err := get(p, "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.Status).To(gomega.Equal(expected))
		})
	}
}
