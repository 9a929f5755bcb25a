// Package logging sets up the structured log. Every part of a program logs with
// a fixed prefix, and every message is a short sentence.
package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Format is how log lines are written.
type Format string

// The log formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// partField is the field that carries the part's name until it is written.
const partField = "part"

// prefixHook puts the part's name in front of each message.
type prefixHook struct{}

// Levels implements logrus.Hook.
func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (prefixHook) Fire(entry *logrus.Entry) error {
	if name, found := entry.Data[partField]; found {
		entry.Message = fmt.Sprintf("[%s] %s", name, entry.Message)
	}
	return nil
}

// New makes a logger. Level is a logrus level name.
func New(output io.Writer, format Format, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	logger.AddHook(prefixHook{})
	switch format {
	case FormatText:
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, fmt.Errorf("log format %q is neither text nor json", format)
	}
	return logger, nil
}

// Part returns the log of one part of a program: its messages start with the
// part's name in brackets.
func Part(logger *logrus.Logger, name string) logrus.FieldLogger {
	return logger.WithField(partField, name)
}

// Discard returns a log that goes nowhere, for tests.
func Discard() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}
