package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

const (
	// memoryPart is the part of the memory allowed up to which the garbage
	// collector lets the heap grow.
	memoryPart = 0.6
	// stopSlack is the part of the grace that is left for the end of the
	// process itself, and stopTimeout what of it the loops may take.
	stopSlack   = 500 * time.Millisecond
	stopTimeout = 300 * time.Millisecond
	// logSlack is how long the last log lines may take at the end.
	logSlack = 100 * time.Millisecond
)

// runOnPlatform runs one entry on the users' platform until SIGTERM.
func runOnPlatform(ctx context.Context, path string) error {
	if path == "" {
		return fmt.Errorf("variable %s names no settings file", platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	gin.SetMode(gin.ReleaseMode)
	lines := telemetry.NewBoundedLog(os.Stdout)
	defer lines.Close(logSlack)
	log := lines.Logger(logrus.InfoLevel)
	if limit := s.Gateway.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(limit)))
	}
	// Signals are caught before the start, so that none is lost in it.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	entry, closeClients, err := newPlatformEntry(s, log)
	if err != nil {
		return err
	}
	defer closeClients()
	if err := entry.Start(ctx); err != nil {
		return err
	}
	go reloadSettings(path, reload, log)
	log.WithField("entry", s.Gateway.ID).Info("serve: started.")
	<-stop
	drainCtx, cancel := context.WithTimeout(ctx, s.Gateway.Grace-stopSlack)
	defer cancel()
	entry.Drain(drainCtx)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	err = entry.Stop(stopCtx)
	log.WithField("entry", s.Gateway.ID).Info("serve: stopped.")
	return err
}

func newPlatformEntry(s platform.Settings, log *logrus.Logger) (*app.Gateway, func(), error) {
	network := app.TCP()
	store := platform.NewStore(s.StoreAddress, network.Dial)
	duties := platform.NewCloudClient(s.CloudAddress, s.Gateway.ID, network.Dial)
	entry, err := app.NewGateway(app.GatewayConfig{
		Settings: s.Gateway,
		Deps: app.GatewayDeps{
			Dialect: platform.Dialect{}, Table: store.Table(),
			Config: store.ConfigurationFeed(), Registry: store.RegistryFeed(),
			Reports: duties, Orders: duties,
			IsConfig: platform.IsConfiguration, DecodeConfig: platform.DecodeConfiguration,
			DecodeReplica: platform.DecodeReplica,
		},
		Network: network,
		Log:     log,
	})
	return entry, func() { store.Close(); duties.Close() }, err
}

// reloadSettings reads the settings again on each signal. What an entry uses
// of them is fixed for the life of a process, so that a change is only told.
func reloadSettings(path string, reload <-chan os.Signal, log *logrus.Logger) {
	for range reload {
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithError(err).Error("serve: settings can't be reloaded.")
			continue
		}
		log.Info("serve: settings reloaded.")
	}
}
