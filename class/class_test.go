package class_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
)

func ExampleRouter() {
	router := class.NewRouter([]class.Class{
		{Name: "all-lots", Host: "assay.example", Prefix: "/lots/"},
		{Name: "intake", Host: "assay.example", Prefix: "/lots/intake/"},
	})
	fmt.Println(router.Match("assay.example", "/lots/intake/17").Name)
	fmt.Println(router.Match("assay.example:80", "/lots/17").Name)
	// Output:
	// intake
	// all-lots
}

func TestRouterRejectsPartialMatches(t *testing.T) {
	g := gomega.NewWithT(t)
	router := class.NewRouter([]class.Class{{Name: "lots", Host: "h", Prefix: "/lots/"}})
	for _, c := range [][2]string{
		{"h", "/"},
		{"h", "/lots"},
		{"h", "/lotsx/1"},
		{"h", "/x/lots/"},
		{"other", "/lots/1"},
		{"", "/lots/1"},
		{"h", ""},
	} {
		g.Expect(router.Match(c[0], c[1])).To(gomega.BeNil(), "%v", c)
	}
	g.Expect(router.Match("h", "/lots/")).NotTo(gomega.BeNil())
}
