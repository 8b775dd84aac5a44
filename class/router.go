package class

import (
	"net"
	"strings"
)

// Router finds the class of a request from its host and path.
type Router struct {
	// hosts holds the classes of each host by prefix.
	hosts map[string]map[string]*Class
}

// NewRouter builds the router of a set of classes.
func NewRouter(classes []Class) *Router {
	r := &Router{hosts: map[string]map[string]*Class{}}
	for i := range classes {
		c := &classes[i]
		if r.hosts[c.Host] == nil {
			r.hosts[c.Host] = map[string]*Class{}
		}
		r.hosts[c.Host][c.Prefix] = c
	}
	return r
}

// Match returns the class with the longest prefix that begins the path, or nil.
func (r *Router) Match(host, path string) *Class {
	prefixes := r.hosts[host]
	if prefixes == nil {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		prefixes = r.hosts[name]
	}
	// Prefixes end with a slash, so only the path's slashes have to be tried.
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
