package daemon

import (
	"reflect"

	"github.com/hashicorp/go-hclog"
)

// reload loads the settings again. It applies the log level, and logs whether any other setting differs from those of
// the start. Such a setting takes effect at the next start.
func (d *Daemon) reload() {
	next, err := d.options.Reload()
	if err != nil {
		d.log.Error("reloading the settings failed; the current settings remain in force", "error", err)
		return
	}
	level := hclog.LevelFromString(next.Log.Level)
	isLevelChanged := level != d.log.GetLevel()
	d.log.SetLevel(level)
	next.Log.Level = d.settings.Log.Level // the only field that takes effect without a restart
	needsRestart := !reflect.DeepEqual(next, d.settings)
	d.log.Info("settings reloaded", "changed", isLevelChanged || needsRestart, "needs_restart", needsRestart)
}
