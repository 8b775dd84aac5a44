package deployment

import (
	"fmt"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Lorient returns the plan of the assay office's deployment, with eleven hosts.
func Lorient() Plan {
	return Plan{
		Name: "lorient",
		Groups: []Group{
			{FailureDomain: "lorient-quai", Service: "lot-register", Hosts: 3},
			{FailureDomain: "lanester-depot", Service: "lot-register", Hosts: 3},
			{FailureDomain: "vannes-annexe", Service: "lot-register", Hosts: 2},
			{FailureDomain: "lorient-quai", Service: "fire-assay-bench", Hosts: 1},
			{FailureDomain: "lanester-depot", Service: "fire-assay-bench", Hosts: 1},
			{FailureDomain: "vannes-annexe", Service: "fire-assay-bench", Hosts: 1},
		},
		Config: newConfig("lot-register", "fire-assay-bench", []class.Class{
			newClass("certificate-lookup", "lot-register", true, 1, 200, 800),
			newClass("lot-intake", "lot-register", false, 2, 500, 1000),
			newClass("fineness-publish", "fire-assay-bench", false, 1, 150, 600),
			newClass("hallmark-query", "fire-assay-bench", true, 0, 100, 400),
		}),
	}
}

// Dakar returns the plan of the sign writers' deployment, with twelve hosts.
func Dakar() Plan {
	return Plan{
		Name: "dakar",
		Groups: []Group{
			{FailureDomain: "dakar-plateau", Service: "catalogue", Hosts: 3},
			{FailureDomain: "dakar-medina", Service: "catalogue", Hosts: 3},
			{FailureDomain: "dakar-almadies", Service: "catalogue", Hosts: 3},
			{FailureDomain: "dakar-plateau", Service: "workshop", Hosts: 1},
			{FailureDomain: "dakar-medina", Service: "workshop", Hosts: 1},
			{FailureDomain: "dakar-almadies", Service: "workshop", Hosts: 1},
		},
		Config: newConfig("catalogue", "workshop", []class.Class{
			newClass("browse-styles", "catalogue", true, 1, 200, 800),
			newClass("place-order", "catalogue", false, 2, 500, 1000),
			newClass("book-supplies", "workshop", false, 1, 150, 600),
			newClass("board-proof", "workshop", true, 0, 100, 400),
		}),
	}
}

// Wide returns a plan with the assay office's configuration and the given number of hosts in four failure domains.
// Three quarters of the hosts run the service whose keys are distributed over its backend servers.
func Wide(hosts int) Plan {
	plan := Lorient()
	plan.Name = "wide"
	plan.Groups = nil
	const domains = 4
	for i := range domains {
		domain := ownership.FailureDomain(fmt.Sprintf("domain-%d", i+1))
		inDomain := (hosts + i) / domains
		plan.Groups = append(plan.Groups,
			Group{FailureDomain: domain, Service: "lot-register", Hosts: inDomain - inDomain/domains},
			Group{FailureDomain: domain, Service: "fire-assay-bench", Hosts: inDomain / domains})
	}
	return plan
}

// newConfig returns a configuration with one service whose keys are distributed over its backend servers, and one
// without keys.
func newConfig(keyed, unkeyed class.Service, classes []class.Class) *class.Config {
	return &class.Config{
		Version: 1,
		Classes: classes,
		Services: map[class.Service]class.ServiceSettings{
			keyed:   {Name: keyed, HealthPath: "/health", MaxConnections: 65, IsKeyed: true},
			unkeyed: {Name: unkeyed, HealthPath: "/health", MaxConnections: 65},
		},
		Limits: class.Limits{
			HeaderBytes:   16 << 10,
			BodyBytes:     1 << 20,
			HeaderTimeout: 3 * time.Second,
			IdleTimeout:   15 * time.Second,
		},
	}
}

func newClass(
	name class.Name, service class.Service, isIdempotent bool, rank class.Rank, latencyMS, timeoutMS int,
) class.Class {
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
