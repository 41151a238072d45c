package gateway

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/pollenlug/pollenlug/internal/target"
)

// cutCall returns the service that a call names and the target for it, both escaped as the caller sent them: a decoded
// "%3F" would start a query.
func cutCall(r *http.Request) (service, rest string, ok bool) {
	path := target.Path(r.RequestURI)
	inner, ok := strings.CutPrefix(path, "/s/")
	if !ok {
		return "", "", false
	}
	service, rest, ok = strings.Cut(inner, "/")
	if _, query, hasQuery := strings.Cut(r.RequestURI, "?"); hasQuery {
		rest += "?" + query
	}
	return service, "/" + rest, ok && service != ""
}

// withCalls passes calls to plain services to calls and everything else to mux. A ServeMux would redirect calls whose paths
// have double slashes or dots to other paths.
func withCalls(mux, calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		escaped, rest, ok := cutCall(r)
		service, err := url.PathUnescape(escaped)
		path, _, _ := strings.Cut(rest, "?")
		decoded, pathErr := url.PathUnescape(path)
		if !ok || err != nil || pathErr != nil {
			mux.ServeHTTP(w, r)
			return
		}
		r.SetPathValue("service", service)
		r.SetPathValue("path", strings.TrimPrefix(decoded, "/"))
		calls.ServeHTTP(w, r)
	})
}

// originForm returns a request's target without scheme and host, otherwise as the caller sent it.
func originForm(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
