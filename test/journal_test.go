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

// citedEntry matches a page's reference to a journal entry, the record of a run in the folder journal.
// A reference to an entry without a result begins with "unfinished".
var citedEntry = regexp.MustCompile(`(unfinished )?entry ([0-9a-f]{8})\b`)

// Guards against figures without a run: each entry that a page cites must exist, and it must have a
// result unless the page calls it unfinished.
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
			checkJournalEntry(t, path, m[2], m[1] != "")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkJournalEntry(t *testing.T, page, id string, unfinished bool) {
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
