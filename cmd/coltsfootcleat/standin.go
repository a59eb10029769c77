package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// standinCommand runs the stand-ins of a deployment in one process.
type standinCommand struct {
	console
	settings string
	template string
	level    string
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "run in-memory stand-ins for the platform and the endpoint hosts"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin -settings FILE [-template FILE]:
  Runs stand-ins for the platform's services, model engines and plain services
  until SIGTERM or SIGINT. With -template the first version of a service
  template is in force from the start. Faults are controlled over HTTP: POST
  /faults on each stand-in, /admin/ on the platform's address.

  Example:
    coltsfootcleat standin -settings deployments/karoo-wick/standin.toml \
      -template deployments/karoo-wick/template.toml

`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "stand-in settings `file` (TOML)")
	f.StringVar(&c.template, "template", "", "service template `file` (TOML) to put in force")
	f.StringVar(&c.level, "log-level", "info", "lowest `level` to log: debug, info, warning or error")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return c.exit(usageError{"standin: name a file with -settings"})
	}
	if err := c.run(ctx); err != nil {
		return c.exit(err)
	}
	return subcommands.ExitSuccess
}

func (c *standinCommand) run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := standin.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(c.level, "text", os.Stderr)
	if err != nil {
		return err
	}
	d, err := standin.New(s, nil, telemetry.Component(log, "standin"))
	if err != nil {
		return err
	}
	if err := c.publish(ctx, d); err != nil {
		return err
	}
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	if err := d.Start(listen); err != nil {
		return err
	}
	defer d.Close()
	<-ctx.Done()
	return nil
}

// publish puts the template in force. It is called before the stand-ins listen,
// so that no client reads the table without the template.
func (c *standinCommand) publish(ctx context.Context, d *standin.Deployment) error {
	if c.template == "" {
		return nil
	}
	data, err := os.ReadFile(c.template)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	t, err := template.Parse(c.template, data)
	if err != nil {
		return err
	}
	_, err = template.NewStore(d.Platform.Table, template.StoreOptions{}).Publish(ctx, 0, "standin", t)
	return err
}
