package check

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

func (f *findings) routes(c *config.Configuration) {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	names := make(map[string]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		subject := routeSubject(r)
		if r.Name == "" {
			f.warnf(subject, "has no name")
		}
		if names[r.Name] {
			f.warnf(subject, "another route has the same name")
		}
		names[r.Name] = true
		m := match{r.Host, r.Prefix}
		if other, found := first[m]; found {
			f.warnf(subject, "never matches: route %s has the same host and prefix", other)
		} else {
			first[m] = r.Name
		}
		f.host(subject, r.Host)
		f.prefix(subject, r.Prefix)
		f.targets(subject, r, c)
		f.routeLimits(subject, r)
	}
}

func routeSubject(r *config.Route) string { return "route " + r.Name }

func (f *findings) host(subject, host string) {
	switch {
	case !isValidHost(host):
		f.warnf(subject, "never matches: no valid host name equals %q", host)
	case host != strings.ToLower(host):
		f.warnf(subject, "host %q has upper case; clients that send it in lower case don't match", host)
	}
}

func (f *findings) prefix(subject, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		f.warnf(subject, "never matches: prefix %q doesn't begin with a slash", prefix)
	case strings.ContainsAny(prefix, "?# "):
		f.warnf(subject, "never matches: prefix %q has a character that no path contains", prefix)
	case !strings.HasSuffix(prefix, "/"):
		f.warnf(subject, "prefix %q doesn't end with a slash, so it also matches longer names", prefix)
	}
}

func (f *findings) targets(subject string, r *config.Route, c *config.Configuration) {
	if len(r.Targets) == 0 {
		f.errorf(subject, "has no service")
		return
	}
	sum := 0.0
	for _, t := range r.Targets {
		if _, found := c.Services[t.Service]; !found {
			f.errorf(subject, "service %q is missing", t.Service)
		}
		if t.Weight < 0 {
			f.errorf(subject, "weight %v of service %s is negative", t.Weight, t.Service)
		}
		sum += max(0, t.Weight)
	}
	if sum == 0 {
		f.errorf(subject, "weights sum to 0")
	}
}

func (f *findings) routeLimits(subject string, r *config.Route) {
	if r.Timeout < 0 {
		f.errorf(subject, "timeout is negative or too large")
	}
	if r.Objective < 0 {
		f.errorf(subject, "latency objective is negative or too large")
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		f.warnf(subject, "timeout %v is below the latency objective %v", r.Timeout, r.Objective)
	}
	if r.Attempts < 0 {
		f.errorf(subject, "number of attempts %d is negative", r.Attempts)
	}
	if r.Attempts > 1 && !r.MayRepeat() {
		f.warnf(subject, "%d attempts, but its requests may run only once", r.Attempts)
	}
}

// hostName matches a host name by RFC 1123, also with underscores, which occur
// in private networks. The lengths of labels are bounded by RFC 1035.
var hostName = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?(\.[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?)*\.?$`)

// maxHostName is the maximum length of a host name by RFC 1035.
const maxHostName = 253

// isValidHost reports whether a request's Host header can have the value: a
// name or an address, with or without a port.
func isValidHost(host string) bool {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		port, err := strconv.ParseUint(host[i+1:], 10, 16)
		if err != nil || port == 0 {
			return false
		}
		host = host[:i]
	}
	if strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]") {
		a, err := netip.ParseAddr(host[1 : len(host)-1])
		return err == nil && a.Is6()
	}
	return len(host) <= maxHostName && hostName.MatchString(host)
}
