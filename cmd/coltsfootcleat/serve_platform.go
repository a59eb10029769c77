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
	// memoryLimitFraction is the fraction of the allowed memory that is the
	// soft limit of the Go runtime: the garbage collector runs more often to
	// stay below it.
	memoryLimitFraction = 0.6
	// exitReserve is the end of the grace period that is not used for the
	// drain, so that the process has time to exit. stopTimeout is the part of
	// it within which the loops of the entry must stop.
	exitReserve = 500 * time.Millisecond
	stopTimeout = 300 * time.Millisecond
	// logFlushTimeout limits the time to write the last log lines at exit.
	logFlushTimeout = 100 * time.Millisecond
)

// runOnPlatform runs one entry on the users' platform until SIGTERM or SIGINT.
// It drains the entry within the grace period, less exitReserve. Room enables
// admission control by the room of services.
func runOnPlatform(ctx context.Context, path string, room bool) error {
	if path == "" {
		return fmt.Errorf("variable %s must name the settings file", platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	s.Gateway.Room = room
	gin.SetMode(gin.ReleaseMode)
	lines := telemetry.NewBoundedLog(os.Stdout)
	defer lines.Close(logFlushTimeout)
	log := lines.Logger(logrus.InfoLevel)
	if limit := s.Gateway.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit)))
	}
	// Catch signals before Start, so that none is lost while the entry starts.
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
	go reloadSettings(reload, log, func() error {
		_, err := platform.LoadSettings(path)
		return err
	})
	log.WithField("entry", s.Gateway.ID).Info("serve: started.")
	<-stop
	drainCtx, cancel := context.WithTimeout(ctx, s.Gateway.Grace-exitReserve)
	defer cancel()
	entry.Drain(drainCtx)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	err = entry.Stop(stopCtx)
	log.WithField("entry", s.Gateway.ID).Info("serve: stopped.")
	return err
}

// newPlatformEntry returns an entry that uses the platform's store and cloud
// API, and a function that closes the clients of both.
func newPlatformEntry(s platform.Settings, log *logrus.Logger) (*app.Gateway, func(), error) {
	network := app.TCP()
	store := platform.NewStore(s.StoreAddress, network.Dial)
	cloud := platform.NewCloudClient(s.CloudAddress, s.Gateway.ID, network.Dial)
	entry, err := app.NewGateway(app.GatewayConfig{
		Settings: s.Gateway,
		Deps: app.GatewayDeps{
			Dialect: platform.Dialect{}, Table: store.Table(), Epoch: store.Epoch(),
			Config: store.ConfigurationFeed(), Registry: store.RegistryFeed(),
			Reports: cloud, Orders: cloud,
			IsConfig: platform.IsConfiguration, DecodeConfig: platform.DecodeConfiguration,
			DecodeReplica: platform.DecodeReplica,
			Rollouts: app.RolloutDeps{
				Service: platform.RolloutService, Decode: platform.DecodeRollout,
				Orders: store.RolloutOrders, WriteStatus: store.WriteRolloutStatus,
			},
		},
		Network: network,
		Log:     log,
	})
	return entry, func() { store.Close(); cloud.Close() }, err
}

// reloadSettings loads the settings on each signal, and logs the result. It
// applies no change, because the settings that an entry uses are fixed while the
// process runs.
func reloadSettings(reload <-chan os.Signal, log *logrus.Logger, load func() error) {
	for range reload {
		if err := load(); err != nil {
			log.WithError(err).Error("serve: settings can't be reloaded.")
			continue
		}
		log.Info("serve: settings reloaded.")
	}
}
