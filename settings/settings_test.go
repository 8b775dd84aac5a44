package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/settings"
)

const valid = `host = "h"
failure_domain = "d"
service = "s"
address = "127.0.0.1"
ports = { first = 7000, last = 7003 }
platform = { address = "127.0.0.1:7100" }
caller = { listen = "127.0.0.1:7101" }
ready = { listen = "127.0.0.1:7102" }
backend = { listen = "127.0.0.1:7103", address = "127.0.0.1:7104" }
`

func TestInlineTablesAreChecked(t *testing.T) {
	for name, c := range map[string]struct{ from, to, wantField string }{
		"valid":         {},
		"unknown field": {from: `last = 7003`, to: `last = 7003, middle = 7001`, wantField: "ports.middle"},
		"out of range":  {from: `first = 7000`, to: `first = -1`, wantField: "ports.first"},
		"nested table":  {from: `last = 7003`, to: `last = 7003, extra = { a = 1 }`, wantField: "ports.extra"},
		"unknown table": {from: `host = "h"`, to: "host = \"h\"\ncolour = { red = 1 }", wantField: "colour"},
		"not a number":  {from: `host = "h"`, to: "host = \"h\"\nretries = { share = nan }", wantField: "retries.share"},
		"infinite":      {from: `host = "h"`, to: "host = \"h\"\nretries.slack = inf", wantField: "retries.slack"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := settings.Parse("f", []byte(strings.Replace(valid, c.from, c.to, 1)))
			if c.wantField == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			var problems *settings.ProblemsError
			g.Expect(errors.As(err, &problems)).To(gomega.BeTrue(), "%v", err)
			fields := []string{}
			for _, p := range problems.Problems {
				fields = append(fields, p.Field)
			}
			g.Expect(fields).To(gomega.ContainElement(c.wantField))
		})
	}
}
