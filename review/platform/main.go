// Command standins plays the scripted cases of the review: it starts the entries
// as processes of their own, and the platform, the replicas and the clients as
// stand-ins beside them.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripted cases by name. Each returns what broke the rule, or
// nothing.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"stale-orders":  staleOrders,
	"config-growth": configGrowth,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	binary := flag.String("binary", "target/coltsfootcleat", "the system's program")
	record := flag.String("record", "record.txt", "where to write what happened")
	dir := flag.String("dir", "", "temporary folder")
	flag.Parse()
	os.Exit(play(*name, *binary, *record, *dir, os.Getenv("TROUBLE") != "0"))
}

func play(name, binary, record, dir string, trouble bool) int {
	run, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(binary, record, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := run(w, trouble)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			w.note("BROKEN  %s", b)
		}
		fmt.Printf("broken %d times, the first: %s\n", len(broken), broken[0])
		return exitBroken
	default:
		w.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
