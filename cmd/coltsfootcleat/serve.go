package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

// serveCommand runs one entry host.
type serveCommand struct {
	settings   string
	onPlatform bool
	// room is valid on the platform only.
	room bool
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry host" }

func (*serveCommand) Usage() string {
	return `serve -settings FILE | serve -platform [-admit-by-room]:
  Runs one entry host until SIGTERM or SIGINT. The first signal drains it: it
  accepts no new requests and exits once those in progress have ended. A second
  signal stops it at once. SIGHUP makes the entry read its settings file again,
  check it and log the result; changes take effect at the next start.

  With -platform the entry runs on the users' platform, with the settings file
  that the variable ` + platform.SettingsVariable + ` names. With
  -admit-by-room, entries of deployments of more than 16 refuse requests that the
  replicas of their service have no room for.

  Examples:
    coltsfootcleat serve -settings deployments/karoo-wick/entry-midrand.toml
    coltsfootcleat serve -platform

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
	f.BoolVar(&c.onPlatform, "platform", false, "run on the users' platform, with its settings file")
	f.BoolVar(&c.room, "admit-by-room", false, "with -platform: refuse requests that the replicas of their service have no room for")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.settings == "") != c.onPlatform || c.room && !c.onPlatform || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *serveCommand) run(ctx context.Context) error {
	if c.onPlatform {
		return runOnPlatform(ctx, os.Getenv(platform.SettingsVariable), c.room)
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	return runEntry(ctx, c.settings, s)
}

// runEntry runs one entry host with settings from a file until the first SIGTERM
// or SIGINT, and then drains it. A second signal ends the drain.
func runEntry(ctx context.Context, path string, s settings.Entry) error {
	log, err := telemetry.NewLogger(s.Log.Level, s.Log.Format, os.Stderr)
	if err != nil {
		return err
	}
	entry, err := app.New(app.Config{Settings: s, Network: app.TCP(), Log: log})
	if err != nil {
		return err
	}
	// Catch signals before Start, so that none is lost while the entry starts.
	first, stopFirst := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopFirst()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := entry.Start(ctx); err != nil {
		return err
	}
	go reloadSettings(reload, log, func() error {
		_, err := settings.Load(path)
		return err
	})
	<-first.Done()
	second, stopSecond := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSecond()
	if err := entry.Drain(second); err != nil {
		log.WithError(err).Warn("app: drain was cut short.")
	}
	return entry.Stop(context.WithoutCancel(ctx))
}
