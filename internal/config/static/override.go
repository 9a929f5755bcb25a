package static

import (
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
)

// Overrides are the flags that go before the settings file. Tags are those of
// go-flags; programs embed the struct in their options.
type Overrides struct {
	Daemon        string   `long:"daemon-id" value-name:"NAME" description:"Name of this daemon"`
	Zone          string   `long:"zone" value-name:"NAME" description:"Zone of this daemon"`
	Region        string   `long:"region" value-name:"NAME" description:"Region of this daemon"`
	ListenCallers string   `long:"listen-callers" value-name:"IP:PORT" description:"Address for callers"`
	ListenAdmin   string   `long:"listen-admin" value-name:"IP:PORT" description:"Address for operators"`
	ListenPeer    string   `long:"listen-peer" value-name:"IP:PORT" description:"Address for other daemons, TCP and UDP"`
	ListenHealth  string   `long:"listen-health" value-name:"IP:PORT" description:"Address for /healthz, /readyz and /metrics"`
	Advertise     string   `long:"advertise" value-name:"IP:PORT" description:"Peer address that other daemons use"`
	Seeds         []string `long:"seed" value-name:"IP:PORT" description:"Peer address of another daemon (may be repeated; replaces the file's list)"`
	Table         string   `long:"table" value-name:"URL" description:"Table service, http://IP:port"`
	Objects       string   `long:"objects" value-name:"URL" description:"Object store, http://IP:port"`
	Machines      string   `long:"machines" value-name:"URL" description:"Machine list, http://IP:port"`
	PeerKeyFiles  []string `long:"peer-key-file" value-name:"FILE" description:"File with a key between daemons (may be repeated; replaces the file's list)"`
	LogFormat     string   `long:"log-format" value-name:"FORMAT" description:"text or json"`
	LogLevel      string   `long:"log-level" value-name:"LEVEL" description:"error, warning, info or debug"`
	Isolation     string   `long:"isolation" value-name:"POLICY" description:"What to do while cut off from table and peers: refuse or serve"`
}

// apply sets what the flags give, and returns the flag of each field path set.
func (o Overrides) apply(settings *Settings) map[string]string {
	set := map[string]string{}
	override(set, o.Daemon, "identity.daemon", "--daemon-id", func(text string) {
		settings.Identity.Daemon = identity.DaemonID(text)
	})
	override(set, o.Zone, "identity.zone", "--zone", func(text string) {
		settings.Identity.Zone = identity.Zone(text)
	})
	override(set, o.Region, "identity.region", "--region", assignTo(&settings.Identity.Region))
	override(set, o.ListenCallers, "listen.callers", "--listen-callers", assignTo(&settings.Listen.Callers))
	override(set, o.ListenAdmin, "listen.admin", "--listen-admin", assignTo(&settings.Listen.Admin))
	override(set, o.ListenPeer, "listen.peer", "--listen-peer", assignTo(&settings.Listen.Peer))
	override(set, o.ListenHealth, "listen.health", "--listen-health", assignTo(&settings.Listen.Health))
	override(set, o.Advertise, "peers.advertise", "--advertise", assignTo(&settings.Peers.Advertise))
	override(set, o.Table, "platform.table", "--table", assignTo(&settings.Platform.Table))
	override(set, o.Objects, "platform.objects", "--objects", assignTo(&settings.Platform.Objects))
	override(set, o.Machines, "platform.machines", "--machines", assignTo(&settings.Platform.Machines))
	override(set, o.LogLevel, "logging.level", "--log-level", assignTo(&settings.Logging.Level))
	override(set, o.LogFormat, "logging.format", "--log-format", func(text string) {
		settings.Logging.Format = logging.Format(text)
	})
	override(set, o.Isolation, "isolation", "--isolation", func(text string) {
		settings.Isolation = IsolationPolicy(text)
	})
	o.applyLists(settings, set)
	return set
}

func (o Overrides) applyLists(settings *Settings, set map[string]string) {
	if len(o.Seeds) > 0 {
		settings.Peers.Seeds = o.Seeds
	}
	for index := range o.Seeds {
		set[indexed("peers.seeds", index)] = "--seed"
	}
	if len(o.PeerKeyFiles) > 0 {
		settings.Peers.Keys = nil
	}
	for index, file := range o.PeerKeyFiles {
		settings.Peers.Keys = append(settings.Peers.Keys, Key{File: file})
		path := indexed("peers.keys", index)
		set[path] = "--peer-key-file"
		set[path+".file"] = "--peer-key-file"
	}
}

func override(set map[string]string, text, path, flag string, assign func(string)) {
	if text == "" {
		return
	}
	assign(text)
	set[path] = flag
}

func assignTo(target *string) func(string) {
	return func(text string) { *target = text }
}
