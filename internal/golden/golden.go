// Package golden compares the output of a test with a golden file.
package golden

import (
	"os"
	"testing"
)

// updateVariable is the environment variable that has golden files written anew.
const updateVariable = "TIDEPOST_UPDATE"

// Check fails the test if got is not the content of the golden file at path.
func Check(t *testing.T, path, got string) {
	t.Helper()
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s is now\n%s", path, got)
	}
}
