// Package target keeps the target of a request as its caller sent it: package net/url changes some targets when it parses
// or writes them.
package target

import (
	"net/url"
	"strings"
)

// Path returns the path of a target, escaped as sent and without the query. An absolute target without a path and the
// target "*" have the path "/".
func Path(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if path == "*" {
		return "/"
	}
	if _, rest, ok := strings.Cut(path, "://"); ok && !strings.HasPrefix(path, "/") {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
		return "/"
	}
	return path
}

// Set changes u so that a request with it has exactly the target, and reports whether that is possible. The scheme and
// host of u stay.
func Set(u *url.URL, target string) bool {
	u.Opaque, u.Path, u.RawPath, u.RawQuery, u.ForceQuery = target, "", "", "", false
	if strings.HasPrefix(target, "//") { // net/url would put the scheme in front of such an opaque part
		path, query, hasQuery := strings.Cut(target, "?")
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return false
		}
		u.Opaque, u.Path, u.RawPath, u.RawQuery, u.ForceQuery = "", decoded, path, query, hasQuery
	}
	return u.RequestURI() == target && !strings.ContainsFunc(target, isControl)
}

// isControl reports whether net/http refuses to write a character, or another implementation may end the target there.
func isControl(c rune) bool { return c <= ' ' || c == 0x7f }

// Forwardable reports whether a target can be sent on unchanged.
func Forwardable(target string) bool { return Set(&url.URL{Scheme: "http", Host: "server"}, target) }
