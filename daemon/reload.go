package daemon

import (
	"reflect"

	"github.com/hashicorp/go-hclog"
)

// reload reads the settings again. What can be changed while running is taken up; the rest is logged and waits for the
// next start.
func (d *Daemon) reload() {
	next, err := d.options.Reload()
	if err != nil {
		d.log.Error("settings not reloaded", "error", err)
		return
	}
	if reflect.DeepEqual(next, d.settings) {
		d.log.Info("settings reloaded", "changed", false)
		return
	}
	d.log.SetLevel(hclog.LevelFromString(next.Log.Level))
	isSame := next.Host == d.settings.Host && next.Service == d.settings.Service && next.Address == d.settings.Address &&
		next.FirstPort == d.settings.FirstPort && next.Platform.Address == d.settings.Platform.Address &&
		next.Backend == d.settings.Backend && next.Caller == d.settings.Caller && next.Ready == d.settings.Ready
	d.log.Info("settings reloaded", "changed", true, "needs_restart", !isSame)
}
