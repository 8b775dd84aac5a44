package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/cmd"
)

const good = `host = "h"
failure_domain = "d"
service = "s"
address = "127.0.0.1"
[ports]
first = 7000
last = 7003
[platform]
address = "127.0.0.1:7100"
[caller]
listen = "127.0.0.1:7101"
[ready]
listen = "127.0.0.1:7102"
[backend]
listen = "127.0.0.1:7103"
address = "127.0.0.1:7104"
`

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for name, c := range map[string]struct {
		args       []string
		wantCode   int
		wantOutput string
	}{
		"help":            {args: []string{"--help"}, wantCode: cmd.ExitOK, wantOutput: "Exit codes"},
		"version":         {args: []string{"version"}, wantCode: cmd.ExitOK, wantOutput: "record format"},
		"no such command": {args: []string{"grow"}, wantCode: cmd.ExitUsage},
		"no settings":     {args: []string{"run"}, wantCode: cmd.ExitUsage, wantOutput: "settings"},
		"good settings": {
			args:       []string{"check", file("good", good)},
			wantCode:   cmd.ExitOK,
			wantOutput: "1 files are good",
		},
		"unknown field": {
			args:       []string{"check", file("unknown", good+"colour = 1\n")},
			wantCode:   cmd.ExitInvalid,
			wantOutput: "not a known field",
		},
		"not TOML": {
			args:       []string{"run", "--settings", file("broken", "host")},
			wantCode:   cmd.ExitInvalid,
			wantOutput: "broken:1",
		},
		"all at once": {
			args:       []string{"check", file("empty", "")},
			wantCode:   cmd.ExitInvalid,
			wantOutput: "backend.address: is missing",
		},
		"no such file":       {args: []string{"check", filepath.Join(dir, "none")}, wantCode: cmd.ExitFailed},
		"unreachable daemon": {args: []string{"status", "--daemon", "127.0.0.1:1"}, wantCode: cmd.ExitUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var out bytes.Buffer
			g.Expect(cmd.Execute(c.args, &out, &out)).To(gomega.Equal(c.wantCode), out.String())
			g.Expect(out.String()).To(gomega.ContainSubstring(c.wantOutput))
		})
	}
}
