// Command tidepost-control runs a control node, which replicates the control log with the service
// configuration.
package main

import (
	"os"

	"github.com/tidepost/tidepost/pkg/control"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/staging"
	"github.com/tidepost/tidepost/platform"
)

func main() {
	os.Exit(daemon.MainWithPath("tidepost-control", settings.LoadControl, func(path string, s settings.Control, signals <-chan os.Signal) error {
		protocol, err := daemon.ChooseProtocol(s.Protocol(), control.NativeProtocol(), platform.Control())
		if err != nil {
			return err
		}
		var origin *staging.Protocol
		if weights := platform.Staging(); weights.ProtocolName() == s.Protocol() {
			origin = &weights
		}
		n, err := control.New(s, path, protocol, origin, control.Hooks{})
		if err != nil {
			return err
		}
		return n.Run(signals)
	}))
}
