package static

import "time"

// interval is one interval of Tuning under its key.
type interval struct {
	key   string
	value time.Duration
}

func (t Tuning) intervals() []interval {
	return []interval{
		{"probe_interval", t.ProbeInterval},
		{"probe_timeout", t.ProbeTimeout},
		{"suspicion_timeout", t.SuspicionTimeout},
		{"isolation_timeout", t.IsolationTimeout},
		{"load_poll_interval", t.LoadPollInterval},
		{"machine_list_interval", t.MachineListInterval},
		{"platform_timeout", t.PlatformTimeout},
		{"lease_duration", t.LeaseDuration},
		{"controller_interval", t.ControllerInterval},
		{"stop_timeout", t.StopTimeout},
	}
}
