package callerapi

import (
	"net/url"
	"path"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// hiddenEscapes are bytes that a service may read in a way of its own once
// they are decoded: slashes, dots, the escape itself and path parameters.
var hiddenEscapes = []string{"%2F", "%5C", "%2E", "%25", "%3B"}

// checkPath refuses a path that the template and the service might read
// differently, as a call that may not be repeated could then pass for one that
// may.
func checkPath(u *url.URL) error {
	escaped := strings.ToUpper(u.EscapedPath())
	for _, escape := range hiddenEscapes {
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

// routeOf returns the route of a call: the exact one, with or without a slash
// at its end, or else that of the longest prefix. What no route names may not
// be repeated. path is decoded.
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
