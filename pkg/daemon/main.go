// ================================================================
// The command line of a daemon: a settings file, or a check of one.
// ================================================================

package daemon

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Main runs a daemon and returns its exit code: 0 after an orderly end, 1 on a
// failure, 2 when the command line or the settings are wrong.
func Main[T any](name string, load func(path string) (T, error), run func(T, <-chan os.Signal) error) int {
	var path string
	var checkOnly bool
	code := 2
	c := &cobra.Command{
		Use:           name + " --settings FILE [--check]",
		Short:         "Run " + name,
		Example:       fmt.Sprintf("  %s --settings %s.yaml --check\n  %s --settings %s.yaml", name, name, name, name),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.Flags().StringVar(&path, "settings", "", "settings file; see docs/SETTINGS.md")
	c.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and end")
	_ = c.MarkFlagRequired("settings")
	c.RunE = func(*cobra.Command, []string) error {
		s, err := load(path)
		if err != nil {
			return err
		}
		if checkOnly {
			fmt.Printf("%s is valid\n", path)
			return nil
		}
		code = 1
		return run(s, Signals())
	}
	if err := c.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return code
	}
	return 0
}
