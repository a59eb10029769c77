package callerapi

import (
	"net/url"
	"path"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// ambiguousEscapes are the escapes of bytes that a service may interpret
// differently once they are decoded: slashes, dots, the percent sign and the
// separator of path parameters.
var ambiguousEscapes = []string{"%2F", "%5C", "%2E", "%25", "%3B"}

// checkPath refuses a path that the template and the service might interpret
// differently. A call that must not be repeated could otherwise match a route
// that is marked as repeatable.
func checkPath(u *url.URL) error {
	escaped := strings.ToUpper(u.EscapedPath())
	for _, escape := range ambiguousEscapes {
		if strings.Contains(escaped, escape) {
			return invalid("path has the escape %s", escape)
		}
	}
	if strings.ContainsAny(u.Path, "\\;") || strings.ContainsFunc(u.Path, isControl) {
		return invalid("path has a backslash, a semicolon or a control character")
	}
	if cleaned := path.Clean(u.Path); cleaned != u.Path && cleaned+"/" != u.Path {
		return invalid("path is not clean")
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// routeOf returns the route of a call, whose decoded path is path. A route that
// equals the path, apart from a trailing slash, takes precedence over prefix
// routes, of which the longest match is used. For a call that matches none,
// routeOf returns a route that is not repeatable.
func routeOf(s template.Service, method, path string) template.Route {
	best, length := template.Route{Method: method, Path: path}, -1
	for _, r := range s.Routes {
		if r.Method != method {
			continue
		}
		if trimSlash(r.Path) == trimSlash(path) {
			return r
		}
		prefix, ok := strings.CutSuffix(r.Path, "*")
		if ok && strings.HasPrefix(path, prefix) && len(prefix) > length {
			best, length = r, len(prefix)
		}
	}
	return best
}

func trimSlash(path string) string { return strings.TrimSuffix(path, "/") }
