package cli

import (
	"bytes"
	"os"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/settings"
)

// fileCheckPeriod is how often the settings file is looked at for a change that nobody announces.
const fileCheckPeriod = 2 * time.Second

// reloadable takes changed settings into force.
type reloadable interface {
	SetRetryLimit(limit retry.WindowLimit)
	// SetStop changes the next planned stop, and none that runs.
	SetStop(next settings.Stop)
}

// reloader takes changed settings into force as far as that is possible without
// a restart: the log level, the bound on retries and the times of a planned stop.
// It says what is not. Wrong settings change nothing.
type reloader struct {
	file    string
	current settings.Settings
	log     hclog.Logger
	server  reloadable
	seen    []byte // the file's content that was dealt with last
}

// run reads the file at each signal, and when its content has changed.
func (r *reloader) run(signals <-chan os.Signal) {
	var err error
	if r.seen, err = os.ReadFile(r.file); err != nil {
		r.log.Warn("settings file not read", "error", err) // it is read again when it is there
	}
	ticker := time.NewTicker(fileCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case _, open := <-signals:
			if !open {
				return
			}
			r.read(true)
		case <-ticker.C:
			r.read(false)
		}
	}
}

// read takes the file's content into force if it has changed, or if told to
// always.
func (r *reloader) read(always bool) {
	raw, err := os.ReadFile(r.file)
	if err != nil {
		if always {
			r.log.Error("settings not taken; the last good ones stay", "error", err)
		}
		return
	}
	if !always && bytes.Equal(raw, r.seen) {
		return
	}
	r.seen = raw
	next, err := settings.Parse(r.file, raw)
	if err != nil {
		r.log.Error("settings not taken; the last good ones stay", "error", err)
		return
	}
	r.take(next)
}

func (r *reloader) take(next settings.Settings) {
	if next.Log != r.current.Log {
		r.log.SetLevel(hclog.LevelFromString(next.Log))
	}
	if next.Retries != r.current.Retries && next.Retries != (settings.Retries{}) {
		r.server.SetRetryLimit(platform.RetryLimit(next.Retries))
	}
	if next.Stop != r.current.Stop {
		r.server.SetStop(next.Stop)
	}
	same := next
	same.Log, same.Retries, same.Stop = r.current.Log, r.current.Retries, r.current.Stop
	r.log.Info("settings read again", "log_level", next.Log, "retry_ratio", next.Retries.Ratio,
		"stop", next.Stop, "needs_restart", !reflect.DeepEqual(same, r.current))
	r.current.Log, r.current.Retries, r.current.Stop = next.Log, next.Retries, next.Stop
}
