// Command tidepost-agent runs on each backend server VM: it distributes weights, gives orders to the
// engine, and admits requests.
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
