package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// uncheckedClient matches HTTP clients that are not made by upstream.NewClient.
var uncheckedClient = regexp.MustCompile(`http\.Default(Client|Transport)|http\.Get\(|http\.Post\(|http\.Client\{|[^(]&http\.Transport\{`)

// Guards against an HTTP client in the programs that reads responses without the checks of upstream.NewClient.
func TestClientsCheckResponses(t *testing.T) {
	for _, root := range []string{"../pkg", "../platform", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && (entry.Name() == "standin" || entry.Name() == "fake") {
				return filepath.SkipDir // they stand for other programs
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || path == "../pkg/upstream/transport.go" {
				return nil
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for i, line := range strings.Split(string(raw), "\n") {
				if uncheckedClient.MatchString(line) {
					t.Errorf("%s:%d: %s", path, i+1, strings.TrimSpace(line))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
