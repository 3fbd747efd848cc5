// Command tidepost-stager downloads model weights and loads them into the engine of its VM.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/staging"
	"github.com/tidepost/tidepost/platform"
)

func main() {
	os.Exit(daemon.MainWithPath("tidepost-stager", settings.LoadStager, func(path string, c settings.Stager, signals <-chan os.Signal) error {
		protocol, err := daemon.ChooseProtocol(c.Protocol(), platform.Staging())
		if err != nil {
			return err
		}
		s, err := staging.New(c, path, protocol, daemon.Hooks{})
		if err != nil {
			return err
		}
		return s.Run(signals)
	}))
}
