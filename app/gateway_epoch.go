package app

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

// watchEpoch logs and exports the epoch of the table.
func watchEpoch(lc fx.Lifecycle, l *Loops, deps GatewayDeps, m *telemetry.Metrics, log *logrus.Entry) error {
	if deps.Epoch == nil {
		return nil
	}
	if err := m.RegisterGauges(telemetry.Gauges{TableEpoch: deps.Epoch.Current}); err != nil {
		return fmt.Errorf("epoch of the table: %w", err)
	}
	l.Go(lc, func(ctx context.Context) {
		for {
			epoch, changed := deps.Epoch.Watch()
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			next := deps.Epoch.Current()
			entry := log.WithFields(logrus.Fields{"epoch": next, "before": epoch})
			if epoch == 0 {
				entry.Info("app: epoch of the table known.")
				continue
			}
			entry.Warn("app: table was restored from a copy.")
		}
	})
	return nil
}
