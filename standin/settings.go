// Package standin runs a complete deployment of stand-ins from settings: the
// platform's services, and hosts with model engines and plain services, each
// host at its own IP address. It combines the stand-ins of infra/standin and
// endpoint/standin. An admin interface reclaims and kills hosts and sets
// faults.
package standin

import (
	_ "embed"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/tomlfile"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Settings describe a deployment of stand-ins.
type Settings struct {
	// Seed seeds all random faults.
	Seed uint64 `toml:"seed"`
	// Listen is the "ip:port" of the platform and of the admin interface.
	Listen         string          `toml:"listen" validate:"required,ip_port"`
	Platform       Platform        `toml:"platform"`
	Engine         Engine          `toml:"engine"`
	Service        Service         `toml:"service"`
	FailureDomains []FailureDomain `toml:"failure_domains" validate:"required,dive"`
}

// Platform configures the platform's services.
type Platform struct {
	TableLatency template.Duration `toml:"table_latency" validate:"gte=0"`
	HostListLag  template.Duration `toml:"host_list_lag" validate:"gte=0"`
	// WeightLoadsPerMinute limits the weight store; 0 sets no limit.
	WeightLoadsPerMinute float64 `toml:"weight_loads_per_minute" validate:"gte=0"`
	WeightBurst          int     `toml:"weight_burst" validate:"gte=0"`
	// Weights are model versions in the weight store, in addition to those
	// that the hosts start with.
	Weights []Weights `toml:"weights" validate:"dive"`
}

// Weights lists versions of a model.
type Weights struct {
	Model    string   `toml:"model" validate:"required"`
	Versions []string `toml:"versions" validate:"required,dive,required"`
}

// Engine configures all engines. Fields that are not set have the defaults of
// endpoint/standin. Rates are in tokens per second, the bandwidth in bytes per
// second.
type Engine struct {
	Port            int               `toml:"port" validate:"gte=1,lte=65535"`
	PrefillRate     float64           `toml:"prefill_rate" validate:"gte=0"`
	DecodeRate      float64           `toml:"decode_rate" validate:"gte=0"`
	MaxRunning      int               `toml:"max_running" validate:"gte=0"`
	MaxWaiting      int               `toml:"max_waiting" validate:"gte=0"`
	CacheBlocks     int               `toml:"cache_blocks" validate:"gte=0"`
	KVBytesPerToken int64             `toml:"kv_bytes_per_token" validate:"gte=0"`
	KVBandwidth     float64           `toml:"kv_bandwidth" validate:"gte=0"`
	LoadTime        template.Duration `toml:"load_time" validate:"gte=0"`
	Retention       template.Duration `toml:"retention" validate:"gte=0"`
	LoadLag         template.Duration `toml:"load_lag" validate:"gte=0"`
	EventLag        template.Duration `toml:"event_lag" validate:"gte=0"`
	EventRing       int               `toml:"event_ring" validate:"gte=0"`
	ChecksFence     bool              `toml:"checks_fence"`
}

// Service configures all plain services.
type Service struct {
	// Port is the port of a host's first service; the others use the ports
	// after it.
	Port        int               `toml:"port" validate:"gte=1,lte=65535"`
	Latency     template.Duration `toml:"latency" validate:"gte=0"`
	Lookup      bool              `toml:"lookup"`
	ChecksFence bool              `toml:"checks_fence"`
}

// FailureDomain holds the hosts of one failure domain and the cloud's offers
// there.
type FailureDomain struct {
	Name   string `toml:"name" validate:"required"`
	Region string `toml:"region"`
	// Network is the network from which each host gets an address.
	Network string  `toml:"network" validate:"required,cidrv4"`
	Hosts   []Group `toml:"hosts" validate:"dive"`
	Offers  []Offer `toml:"offers" validate:"dive"`
}

// Group describes identical hosts that start with the deployment.
type Group struct {
	Count        int     `toml:"count" validate:"gte=1,lte=4096"`
	Class        string  `toml:"class" validate:"required"`
	Reclaimable  bool    `toml:"reclaimable"`
	PricePerHour float64 `toml:"price_per_hour" validate:"gte=0"`
	// Model and Version identify the model version that the host's engine
	// serves. If Model is empty, the host has no engine.
	Model   string `toml:"model" validate:"required_without=Services"`
	Version string `toml:"version" validate:"required_with=Model"`
	// Services are the plain services on the host.
	Services []string `toml:"services" validate:"dive,required"`
}

// Offer is a class of hosts that the cloud offers in a failure domain.
type Offer struct {
	Class        string  `toml:"class" validate:"required"`
	Reclaimable  bool    `toml:"reclaimable"`
	PricePerHour float64 `toml:"price_per_hour" validate:"gte=0"`
	LossPerHour  float64 `toml:"loss_per_hour" validate:"gte=0"`
}

//go:embed default.toml
var defaultTOML []byte

// Default returns the settings of a deployment of three failure domains with
// three engines and one plain service each.
func Default() Settings {
	s, err := ParseSettings("default.toml", defaultTOML)
	if err != nil {
		panic(err) // the file is part of the package, and tested
	}
	return s
}

// defaultSettings returns the values of settings that a file does not set.
func defaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:7000",
		Engine: Engine{Port: 8000},
		Service: Service{
			Port:    8100,
			Latency: template.Duration(5 * time.Millisecond),
		},
	}
}

// LoadSettings reads and validates a file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("stand-in settings: %w", err)
	}
	return ParseSettings(path, data)
}

// ParseSettings parses and validates TOML. Errors refer to it by the name file,
// and are of type settings.Faults.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := defaultSettings()
	doc := tomlfile.Decode(file, data, &s)
	doc.Check(s.problems())
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Validate reports all problems of settings that were not read from a file.
func (s Settings) Validate() error {
	var faults []error
	for _, p := range s.problems() {
		faults = append(faults, fmt.Errorf("%s: %s", p.Key, p.Text))
	}
	return errors.Join(faults...)
}

// problems returns all violated rules of s.
func (s Settings) problems() []tomlfile.Problem {
	problems := tomlfile.Validate(s)
	for i, d := range s.FailureDomains {
		key := fmt.Sprintf("failure_domains[%d]", i)
		if text := d.networkProblem(); text != "" {
			problems = append(problems, tomlfile.Problem{Key: key + ".network", Text: text})
		}
		for _, other := range s.FailureDomains[:i] {
			if overlap(d.Network, other.Network) {
				problems = append(problems, tomlfile.Problem{
					Key: key + ".network", Text: fmt.Sprintf("shares addresses with %q", other.Name)})
			}
			if d.Name != "" && d.Name == other.Name {
				problems = append(problems, tomlfile.Problem{
					Key: key + ".name", Text: fmt.Sprintf("%q stands twice", d.Name)})
			}
		}
	}
	return problems
}

// networkProblem returns a description of the problem if the network has too
// few addresses for the hosts, and "" otherwise.
func (d FailureDomain) networkProblem() string {
	network, err := netip.ParsePrefix(d.Network)
	if err != nil {
		return "" // the validator reports it
	}
	hosts := 0
	for _, g := range d.Hosts {
		hosts += g.Count
	}
	capacity := 1<<(32-network.Bits()) - 2
	if hosts > capacity {
		return fmt.Sprintf("has %d addresses for %d hosts", capacity, hosts)
	}
	return ""
}

func overlap(a, b string) bool {
	pa, errA := netip.ParsePrefix(a)
	pb, errB := netip.ParsePrefix(b)
	return errA == nil && errB == nil && pa.Overlaps(pb)
}

// engineConfig returns the configuration of one engine, without its model.
func (e Engine) engineConfig() enginestandin.EngineConfig {
	return enginestandin.EngineConfig{
		PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate, MaxRunning: e.MaxRunning, MaxWaiting: e.MaxWaiting,
		CacheBlocks: e.CacheBlocks, KVBytesPerToken: e.KVBytesPerToken, KVBandwidth: e.KVBandwidth,
		LoadTime: e.LoadTime.Std(), Retention: e.Retention.Std(), LoadLag: e.LoadLag.Std(),
		EventLag: e.EventLag.Std(), EventRing: e.EventRing, ChecksFence: e.ChecksFence,
	}
}
