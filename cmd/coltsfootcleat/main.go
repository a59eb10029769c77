// Command coltsfootcleat is the only binary of the system. Its subcommands run
// an entry host (serve), run stand-ins of the platform and the endpoint hosts
// (standin), measure the system under load and faults (bench, demo), and serve
// operators (check, drain, explain, status, template, version).
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	terminal := console{out: os.Stdout, err: os.Stderr}
	subcommands.Register(&standinCommand{console: terminal}, "")
	subcommands.Register(&benchCommand{console: terminal}, "")
	subcommands.Register(&demoCommand{console: terminal}, "")
	subcommands.Register(&explainCommand{console: terminal}, "operators")
	for _, c := range operatorCommands() {
		subcommands.Register(c, "operators")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
