package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/settings"
)

// newLogger sets up logging to standard error.
func newLogger(s settings.Log) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, nil
}
