// Command tidepost-agent runs in the slot of each backend server VM.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/agent"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/settings"
)

func main() {
	os.Exit(daemon.Main("tidepost-agent", settings.LoadAgent, func(s settings.Agent, signals <-chan os.Signal) error {
		a, err := agent.New(s, agent.Hooks{})
		if err != nil {
			return err
		}
		return a.Run(signals)
	}))
}
