// Command standin runs the scripted cases of the review. It is started at the root of the repository, as
// "standin CASE RECORD": it exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
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
	broken, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
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
