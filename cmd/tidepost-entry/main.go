// Command tidepost-entry runs on each entry VM: it routes callers' requests to agents.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/entry"
	"github.com/tidepost/tidepost/pkg/settings"
)

func main() {
	os.Exit(daemon.Main("tidepost-entry", settings.LoadEntry, func(s settings.Entry, signals <-chan os.Signal) error {
		e, err := entry.New(s, entry.Hooks{})
		if err != nil {
			return err
		}
		return e.Run(signals)
	}))
}
