package class_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

func ExampleRouter() {
	router, err := class.NewRouter([]class.Class{
		{Name: "lookup", Method: "GET", Path: "/lots/{key}/certificate"},
		{Name: "intake", Method: "POST", Path: "/lots/{key}/intake"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	found, key, ok := router.Match(httptest.NewRequest(http.MethodPost, "/lots/L-1047/intake", nil))
	fmt.Println(found.Name, key, ok)
	// Output: intake L-1047 true
}

func TestRouterMisses(t *testing.T) {
	g := gomega.NewWithT(t)
	router, err := class.NewRouter([]class.Class{{Name: "lookup", Method: "GET", Path: "/lots/{key}"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, target := range []string{"/", "/lots/", "/lots/a/b", "/lots//", "/x/../lots/a/"} {
		_, _, ok := router.Match(httptest.NewRequest(http.MethodGet, target, nil))
		g.Expect(ok).To(gomega.BeFalse(), target)
	}
	_, _, ok := router.Match(httptest.NewRequest(http.MethodDelete, "/lots/a", nil))
	g.Expect(ok).To(gomega.BeFalse())
}

func TestRouterReportsClashes(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := class.NewRouter([]class.Class{
		{Name: "one", Method: "GET", Path: "/lots/{key}"},
		{Name: "two", Method: "GET", Path: "/lots/{lot}"},
	})
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&class.PatternError{}))
	g.Expect(err.(*class.PatternError).Class).To(gomega.Equal(class.Name("two")))
}
