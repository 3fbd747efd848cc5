// Command cases2 plays the scripted cases of the second review: cases2 CASE RECORD. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// outcome is the exit code of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	failed outcome = 2
)

// cases are the scripted cases by name. Each gets the deployment and whether the disruption takes place.
var cases = map[string]struct {
	cores int
	play  func(d *deployment, trouble bool) outcome
}{
	"surplus":     {3, playSurplus},
	"manifest":    {3, playManifest},
	"first-start": {3, playFirstStart},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		os.Exit(int(failed))
	}
	c := cases[os.Args[1]]
	d, err := newDeployment(os.Args[2], c.cores)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	go d.endWhenStopped()
	result := c.play(d, os.Getenv("TROUBLE") != "0")
	d.note("result: %d", result)
	d.end()
	os.Exit(int(result))
}

// endWhenStopped ends a case that is stopped or takes too long, with its processes.
func (d *deployment) endWhenStopped() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(maxLength):
	}
	d.note("stopped early")
	d.end()
	os.Exit(int(failed))
}
