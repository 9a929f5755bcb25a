// Package logging sets up the structured log. Every part of a program logs with
// a fixed prefix, and every message is a short sentence.
package logging

import (
	"fmt"
	"io"
	"reflect"

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

const (
	// maxTextBytes bounds each text of a line: it may be what somebody else has written, of any length.
	maxTextBytes = 1 << 10
	// maxTexts bounds each list of texts in a line, and maxListedBytes each text in it.
	maxTexts       = 16
	maxListedBytes = 128
)

// boundHook shortens texts, so that readers of lines that take no more than 64 kB can read each one.
type boundHook struct{}

// Levels implements logrus.Hook.
func (boundHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. The entry is the line's own copy.
func (boundHook) Fire(entry *logrus.Entry) error {
	entry.Message = bounded(entry.Message)
	for field, value := range entry.Data {
		if shortened, long := shorten(value); long {
			entry.Data[field] = shortened
		}
	}
	return nil
}

// shorten returns a shorter value in place of one that is too long; false if it isn't.
func shorten(value any) (any, bool) {
	if err, isError := value.(error); isError {
		text := err.Error()
		return bounded(text), len(text) > maxTextBytes
	}
	switch found := reflect.ValueOf(value); found.Kind() {
	case reflect.String:
		return bounded(found.String()), found.Len() > maxTextBytes
	case reflect.Slice:
		return shortenList(found)
	default:
		return nil, false
	}
}

// shortenList is shorten for lists of texts.
func shortenList(list reflect.Value) (any, bool) {
	if list.Type().Elem().Kind() != reflect.String || !isLong(list) {
		return nil, false
	}
	texts := make([]string, min(list.Len(), maxTexts))
	for index := range texts {
		text := list.Index(index).String()
		texts[index] = text[:min(len(text), maxListedBytes)]
	}
	return texts, true
}

func isLong(list reflect.Value) bool {
	for index := range min(list.Len(), maxTexts) {
		if list.Index(index).Len() > maxListedBytes {
			return true
		}
	}
	return list.Len() > maxTexts
}

// bounded returns the beginning of a long text, and how long it is.
func bounded(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxTextBytes], len(text))
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
	logger.AddHook(boundHook{})
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
