package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	infrastandin "github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Listen opens a listener on "ip:port".
type Listen func(addr string) (net.Listener, error)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Deployment runs a platform and hosts with endpoints in one process. It is
// safe for concurrent use.
type Deployment struct {
	Platform *infrastandin.Platform

	settings Settings
	dial     Dial
	log      *logrus.Entry

	mu       sync.Mutex
	server   *server
	listen   Listen
	closed   bool
	machines map[string]*machine
	// stopped holds the stopped machines, which Records still includes.
	stopped      []*machine
	ledgers      map[string]*enginestandin.Ledger
	usedAddrs    map[netip.Addr]bool
	hostsCreated int
}

// New returns a deployment that Start runs. Its engines connect to each other
// with dial; nil dials over TCP.
func New(s Settings, dial Dial, log *logrus.Entry) (*Deployment, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("stand-in settings: %w", err)
	}
	d := &Deployment{
		Platform:  infrastandin.NewPlatform(s.Seed),
		settings:  s,
		dial:      dial,
		log:       log,
		machines:  make(map[string]*machine),
		ledgers:   make(map[string]*enginestandin.Ledger),
		usedAddrs: make(map[netip.Addr]bool),
	}
	d.setUpPlatform()
	return d, nil
}

func (d *Deployment) setUpPlatform() {
	p := d.settings.Platform
	d.Platform.Table.SetFaults(infrastandin.TableFaults{Latency: p.TableLatency.Std()})
	d.Platform.HostList.SetFaults(infrastandin.HostListFaults{Lag: p.HostListLag.Std()})
	d.Platform.WeightStore = infrastandin.NewWeightStore(p.WeightLoadsPerMinute, p.WeightBurst)
	for _, w := range p.Weights {
		for _, version := range w.Versions {
			d.Platform.WeightStore.Publish(w.Model, version)
		}
	}
	var offers []infra.Offer
	for _, domain := range d.settings.FailureDomains {
		for _, o := range domain.Offers {
			offers = append(offers, infra.Offer{
				FailureDomain: domain.Name, Region: domain.Region, Class: o.Class,
				Reclaimable: o.Reclaimable, PricePerHour: o.PricePerHour, LossPerHour: o.LossPerHour,
			})
		}
	}
	d.Platform.Cloud.SetOffers(offers)
	d.Platform.Cloud.SetProvisioner(provisioner{d})
}

// Start serves the platform and starts the hosts. If it fails, it stops
// everything that it has started.
func (d *Deployment) Start(listen Listen) error {
	l, err := listen(d.settings.Listen)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	d.mu.Lock()
	d.listen = listen
	d.server = serve(l, d.handler())
	d.mu.Unlock()
	if err := d.startHosts(); err != nil {
		d.Close()
		return err
	}
	d.log.WithField("addr", d.settings.Listen).Info("standin: started.")
	return nil
}

func (d *Deployment) startHosts() error {
	var hosts []infra.Host
	for _, domain := range d.settings.FailureDomains {
		for _, g := range domain.Hosts {
			for range g.Count {
				h, err := d.startHost(domain, g, false)
				if err != nil {
					return err
				}
				hosts = append(hosts, h)
			}
		}
	}
	d.Platform.HostList.Put(hosts...)
	return nil
}

// Close stops all hosts and the platform.
func (d *Deployment) Close() {
	d.mu.Lock()
	d.closed = true
	for _, m := range d.machines {
		m.stop()
	}
	server := d.server
	d.mu.Unlock()
	if server != nil {
		server.close()
	}
	d.Platform.Close()
}

var errClosed = errors.New("deployment is closed")

// startHost starts a host of a group on the next unused address. If cold, its
// engine loads the model first.
func (d *Deployment) startHost(domain FailureDomain, g Group, cold bool) (infra.Host, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.listen == nil {
		return infra.Host{}, errClosed
	}
	ip, err := d.addressLocked(domain)
	if err != nil {
		return infra.Host{}, err
	}
	d.hostsCreated++
	id := fmt.Sprintf("%s-%d", domain.Name, d.hostsCreated)
	m := &machine{
		startedAt: time.Now(),
		services:  make(map[string]*enginestandin.Service),
		host: infra.Host{
			ID: id, Incarnation: id + "-" + ip.String(), FailureDomain: domain.Name, Region: domain.Region,
			Class: g.Class, Reclaimable: g.Reclaimable, State: infra.HostLive, PricePerHour: g.PricePerHour,
		},
	}
	if err := d.startEndpointsLocked(m, ip, g, cold); err != nil {
		m.stop()
		return infra.Host{}, fmt.Errorf("host %s: %w", id, err)
	}
	d.machines[id] = m
	d.usedAddrs[ip] = true
	d.log.WithFields(logrus.Fields{"host": id, "ip": ip, "class": g.Class}).Info("standin: host started.")
	return m.host, nil
}

func (d *Deployment) startEndpointsLocked(m *machine, ip netip.Addr, g Group, cold bool) error {
	if g.Model != "" {
		if err := d.startEngineLocked(m, ip, g, cold); err != nil {
			return err
		}
	}
	for i, name := range g.Services {
		if err := d.startServiceLocked(m, ip, d.settings.Service.Port+i, name); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startEngineLocked(m *machine, ip netip.Addr, g Group, cold bool) error {
	addr := netip.AddrPortFrom(ip, uint16(d.settings.Engine.Port)).String()
	l, err := d.listen(addr)
	if err != nil {
		return err
	}
	cfg := d.settings.Engine.engineConfig()
	cfg.Model, cfg.Version, cfg.ColdStart = g.Model, g.Version, cold
	cfg.Addr, cfg.Dial = addr, d.dial
	cfg.Seed = d.settings.Seed + uint64(d.hostsCreated)
	m.engine = enginestandin.NewEngine(cfg)
	m.serve(l, m.engine.Handler())
	m.host.Endpoints = append(m.host.Endpoints, infra.Endpoint{
		ID: m.host.ID + "/engine", Kind: infra.KindEngine, Addr: addr,
		Name: g.Model, Version: g.Version, ChecksFence: cfg.ChecksFence,
	})
	d.Platform.WeightStore.Publish(g.Model, g.Version)
	return nil
}

func (d *Deployment) startServiceLocked(m *machine, ip netip.Addr, port int, name string) error {
	addr := netip.AddrPortFrom(ip, uint16(port)).String()
	l, err := d.listen(addr)
	if err != nil {
		return err
	}
	ledger := d.ledgers[name]
	if ledger == nil {
		ledger = enginestandin.NewLedger()
		d.ledgers[name] = ledger
	}
	s := d.settings.Service
	service := enginestandin.NewService(enginestandin.ServiceConfig{
		Name: name, Latency: s.Latency.Std(), Lookup: s.Lookup, ChecksFence: s.ChecksFence,
		Ledger: ledger, Seed: d.settings.Seed + uint64(d.hostsCreated),
	})
	m.services[name] = service
	m.serve(l, service.Handler())
	m.host.Endpoints = append(m.host.Endpoints, infra.Endpoint{
		ID: m.host.ID + "/" + name, Kind: infra.KindService, Addr: addr, Name: name, ChecksFence: s.ChecksFence,
	})
	return nil
}

// addressLocked returns an address of a failure domain that no host has used
// since the start.
func (d *Deployment) addressLocked(domain FailureDomain) (netip.Addr, error) {
	network := netip.MustParsePrefix(domain.Network).Masked()
	for ip := network.Addr().Next(); network.Contains(ip.Next()); ip = ip.Next() {
		if !d.usedAddrs[ip] {
			return ip, nil
		}
	}
	return netip.Addr{}, fmt.Errorf("failure domain %q has no free address", domain.Name)
}

// provisioner starts and stops hosts for the cloud API. It implements
// infra/standin.Provisioner.
type provisioner struct{ *Deployment }

// Provision implements infra/standin.Provisioner. The engine of a new host
// loads its model before it serves requests.
func (p provisioner) Provision(r infra.HostRequest, o infra.Offer) (infra.Host, error) {
	i := slices.IndexFunc(p.settings.FailureDomains, func(d FailureDomain) bool { return d.Name == r.FailureDomain })
	if i < 0 {
		return infra.Host{}, fmt.Errorf("no failure domain %q", r.FailureDomain)
	}
	g := Group{Class: o.Class, Reclaimable: o.Reclaimable, PricePerHour: o.PricePerHour, Model: r.Model, Version: r.Version}
	return p.startHost(p.settings.FailureDomains[i], g, true)
}

// Release implements infra/standin.Provisioner.
func (p provisioner) Release(hostID string) { p.Kill(hostID) }
