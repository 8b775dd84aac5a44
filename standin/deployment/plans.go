package deployment

import (
	"fmt"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Lorient returns the small deployment of the assay office.
func Lorient() Plan {
	return Plan{
		Name: "lorient",
		Groups: []Group{
			{Domain: "lorient-quai", Service: "lot-register", Hosts: 3},
			{Domain: "lanester-depot", Service: "lot-register", Hosts: 3},
			{Domain: "vannes-annexe", Service: "lot-register", Hosts: 2},
			{Domain: "lorient-quai", Service: "fire-assay-bench", Hosts: 1},
			{Domain: "lanester-depot", Service: "fire-assay-bench", Hosts: 1},
			{Domain: "vannes-annexe", Service: "fire-assay-bench", Hosts: 1},
		},
		Config: config("lot-register", "fire-assay-bench", []class.Class{
			work("certificate-lookup", "lot-register", true, 1, 200, 800),
			work("lot-intake", "lot-register", false, 2, 500, 1000),
			work("fineness-publish", "fire-assay-bench", false, 1, 150, 600),
			work("hallmark-query", "fire-assay-bench", true, 0, 100, 400),
		}),
	}
}

// Dakar returns the small deployment of the sign writers.
func Dakar() Plan {
	return Plan{
		Name: "dakar",
		Groups: []Group{
			{Domain: "dakar-plateau", Service: "catalogue", Hosts: 3},
			{Domain: "dakar-medina", Service: "catalogue", Hosts: 3},
			{Domain: "dakar-almadies", Service: "catalogue", Hosts: 3},
			{Domain: "dakar-plateau", Service: "workshop", Hosts: 1},
			{Domain: "dakar-medina", Service: "workshop", Hosts: 1},
			{Domain: "dakar-almadies", Service: "workshop", Hosts: 1},
		},
		Config: config("catalogue", "workshop", []class.Class{
			work("browse-styles", "catalogue", true, 1, 200, 800),
			work("place-order", "catalogue", false, 2, 500, 1000),
			work("book-supplies", "workshop", false, 1, 150, 600),
			work("board-proof", "workshop", true, 0, 100, 400),
		}),
	}
}

// Wide returns a deployment of the assay office with so many hosts, three quarters of which are divided by key, in four
// failure domains.
func Wide(hosts int) Plan {
	plan := Lorient()
	plan.Name = "wide"
	plan.Groups = nil
	const domains = 4
	for i := range domains {
		domain := ownership.Domain(fmt.Sprintf("domain-%d", i+1))
		here := (hosts + i) / domains
		plan.Groups = append(plan.Groups,
			Group{Domain: domain, Service: "lot-register", Hosts: here - here/domains},
			Group{Domain: domain, Service: "fire-assay-bench", Hosts: here / domains})
	}
	return plan
}

func config(keyed, free class.Service, classes []class.Class) *class.Config {
	return &class.Config{
		Version: 1,
		Classes: classes,
		Services: map[class.Service]class.ServiceSettings{
			keyed: {Name: keyed, HealthPath: "/health", MaxConnections: 65, IsKeyed: true},
			free:  {Name: free, HealthPath: "/health", MaxConnections: 65},
		},
		Limits: class.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func work(name class.Name, service class.Service, isIdempotent bool, rank class.Rank, latencyMS, timeoutMS int) class.Class {
	return class.Class{
		Name:         name,
		Host:         string(service) + ".example",
		Prefix:       "/" + string(name) + "/",
		Destinations: []class.Destination{{Service: service, Weight: 1}},
		Rank:         rank,
		Latency:      time.Duration(latencyMS) * time.Millisecond,
		Timeout:      time.Duration(timeoutMS) * time.Millisecond,
		Idempotent:   isIdempotent,
		Attempts:     2,
	}
}
