package class

import (
	"net"
	"strings"
)

// Router finds the class of a request from its host and path.
type Router struct {
	// classesByHost maps hosts to their classes, by prefix.
	classesByHost map[string]map[string]*Class
}

// NewRouter returns a router for the given classes.
func NewRouter(classes []Class) *Router {
	r := &Router{classesByHost: map[string]map[string]*Class{}}
	for i := range classes {
		c := &classes[i]
		if r.classesByHost[c.Host] == nil {
			r.classesByHost[c.Host] = map[string]*Class{}
		}
		r.classesByHost[c.Host][c.Prefix] = c
	}
	return r
}

// Match returns the class of the host with the longest prefix that matches the path, or nil. The host may include a
// port.
func (r *Router) Match(host, path string) *Class {
	prefixes := r.prefixes(host)
	// Prefixes end with a slash, so only the parts of the path up to each slash are looked up.
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if c := prefixes[path[:slash+1]]; c != nil {
			return c
		}
		end = slash
	}
	return nil
}

// HasHost reports whether any class is for the host, which may include a port.
func (r *Router) HasHost(host string) bool { return r.prefixes(host) != nil }

// prefixes returns the classes of a host by prefix, or nil.
func (r *Router) prefixes(host string) map[string]*Class {
	if prefixes := r.classesByHost[host]; prefixes != nil {
		return prefixes
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil
	}
	return r.classesByHost[name]
}
