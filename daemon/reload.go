package daemon

import (
	"reflect"

	"github.com/hashicorp/go-hclog"
)

// reload loads the settings again. It applies the log level, and logs whether the settings of this host, its addresses
// or its backend server have changed, which take effect at the next start.
func (d *Daemon) reload() {
	next, err := d.options.Reload()
	if err != nil {
		d.log.Error("reloading the settings failed; the current settings remain in force", "error", err)
		return
	}
	if reflect.DeepEqual(next, d.settings) {
		d.log.Info("settings reloaded", "changed", false)
		return
	}
	d.log.SetLevel(hclog.LevelFromString(next.Log.Level))
	isUnchanged := next.Host == d.settings.Host && next.Service == d.settings.Service &&
		next.Address == d.settings.Address && next.FirstPort == d.settings.FirstPort &&
		next.Platform.Address == d.settings.Platform.Address &&
		next.Backend == d.settings.Backend && next.Caller == d.settings.Caller && next.Ready == d.settings.Ready
	d.log.Info("settings reloaded", "changed", true, "needs_restart", !isUnchanged)
}
