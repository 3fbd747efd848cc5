// Command standin runs the scripted cases of the review. It is started at the root of the repository, as
// "standin CASE RECORD": it exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// cases are the scripted cases by name. Each reports whether its rule was broken.
var cases = map[string]func(ctx context.Context, r *record, trouble bool) (broken bool, err error){
	"departure":    departure,
	"replaced":     replaced,
	"unframed":     unframed,
	"first-change": firstChange,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, serveUnframed(os.Args[2], os.Args[3]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	go endEarly(ctx, r)
	broken, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
	over.Store(true)
	cancel()
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		r.say("result: the rule was broken")
		os.Exit(1)
	}
	r.say("result: the rule held")
}

var (
	// current is the running deployment.
	current atomic.Pointer[deployment]
	// over says that the case has ended.
	over atomic.Bool
)

// endEarly ends all processes and exits with 2 if the case is stopped by a signal or takes too long.
func endEarly(ctx context.Context, r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	reason := "it took too long"
	select {
	case s := <-signals:
		reason = "it was stopped: " + s.String()
	case <-ctx.Done():
	}
	if over.Load() {
		return
	}
	if d := current.Load(); d != nil {
		d.end()
	}
	r.say("the case could not run: %s", reason)
	os.Exit(2)
}
