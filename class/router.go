package class

import (
	"fmt"
	"net/http"
)

// PatternError reports a class whose method and path cannot be matched, or clash with another class.
type PatternError struct {
	Class  Name
	Reason string
}

func (e *PatternError) Error() string {
	return fmt.Sprintf("class %s: %s", e.Class, e.Reason)
}

// Router finds the class of a call from its method and path.
type Router struct {
	mux *http.ServeMux
}

// matched is the handler registered for a class. It carries the answer out of the mux.
type matched struct {
	class Class
}

func (m matched) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.(*capture).found = m.class
	w.(*capture).key = Key(r.PathValue("key"))
	w.(*capture).ok = true
}

// capture is a ResponseWriter that takes a match in place of an answer.
type capture struct {
	found Class
	key   Key
	ok    bool
}

func (*capture) Header() http.Header         { return http.Header{} }
func (*capture) Write(b []byte) (int, error) { return len(b), nil }
func (*capture) WriteHeader(int)             {}

// NewRouter builds the router of a set of classes.
func NewRouter(classes []Class) (*Router, error) {
	r := &Router{mux: http.NewServeMux()}
	for _, c := range classes {
		if err := r.add(c); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// add registers one class. ServeMux panics on a bad or clashing pattern, which is an operator's mistake here.
func (r *Router) add(c Class) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = &PatternError{Class: c.Name, Reason: fmt.Sprint(reason)}
		}
	}()
	r.mux.Handle(c.Method+" "+c.Path, matched{class: c})
	return nil
}

// Match returns the class of a request and, for a keyed class, its key.
func (r *Router) Match(req *http.Request) (Class, Key, bool) {
	// The mux redirects unclean paths; a relay does not, so such a call has no class.
	handler, _ := r.mux.Handler(req)
	if _, ok := handler.(matched); !ok {
		return Class{}, "", false
	}
	seen := &capture{}
	r.mux.ServeHTTP(seen, req.Clone(req.Context()))
	return seen.found, seen.key, seen.ok
}
