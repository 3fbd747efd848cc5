package test

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// citedEntry finds the entries of journal/ that a page takes figures from. An entry
// without a result may be named too, as one.
var citedEntry = regexp.MustCompile(`(unfinished )?entry ([0-9a-f]{8})\b`)

// Every figure comes from a run: the entry that a page names is there, and it has
// a result unless the page says that it has none.
func TestCitedEntriesHaveResults(t *testing.T) {
	root := filepath.Join("..", "docs")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".md" {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text := strings.ReplaceAll(string(raw), "\n", " ")
		for _, m := range citedEntry.FindAllStringSubmatch(text, -1) {
			checkEntry(t, path, m[2], m[1] != "")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkEntry(t *testing.T, page, id string, unfinished bool) {
	t.Helper()
	found, err := filepath.Glob(filepath.Join("..", "journal", "*-"+id+".json"))
	if err != nil || len(found) != 1 {
		t.Errorf("%s names entry %s: %d such entries, %v", page, id, len(found), err)
		return
	}
	raw, err := os.ReadFile(found[0])
	if err != nil {
		t.Error(err)
		return
	}
	var entry struct {
		OK    bool   `json:"ok"`
		Error string `json:"error"`
	}
	if err := json.Unmarshal(raw, &entry); err != nil {
		t.Errorf("%s: %v", found[0], err)
		return
	}
	if finished := entry.OK && entry.Error == ""; finished == unfinished {
		t.Errorf("%s names entry %s: finished %v, %q", page, id, finished, entry.Error)
	}
}
