// ================================================================
// Checks that the reference pages in docs equal the output of `tidepost docs`.
// `go test ./test -update` rewrites them.
// ================================================================

package test

import (
	"os/exec"
	"path/filepath"
	"testing"
)

var referencePages = map[string]string{
	"settings": "SETTINGS.md",
	"errors":   "ERRORS.md",
	"metrics":  "METRICS.md",
	"logs":     "LOGS.md",
	"commands": "COMMANDS.md",
}

func TestReferencePages(t *testing.T) {
	for page, file := range referencePages {
		command := exec.Command(filepath.Join(binaries, "tidepost"), "docs", page)
		command.Env = []string{}
		output, err := command.Output()
		if err != nil {
			t.Fatalf("%s: %v", page, err)
		}
		compareGolden(t, filepath.Join("..", "docs", file), output)
	}
}
