// Command tidepost-control runs on each VM that keeps the control log of the
// service configuration.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/control"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/platform"
)

func main() {
	os.Exit(daemon.MainAt("tidepost-control", settings.LoadControl, func(path string, s settings.Control, signals <-chan os.Signal) error {
		protocol, err := daemon.Choose(s.Protocol(), control.Own(), platform.Control())
		if err != nil {
			return err
		}
		n, err := control.New(s, path, protocol, control.Seams{})
		if err != nil {
			return err
		}
		return n.Run(signals)
	}))
}
