package configcheck

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/policy"
)

// Options are the inputs of a check in addition to the configuration.
type Options struct {
	// InForce is the configuration in force; nil if it is unknown.
	InForce *policy.Configuration
	// Upstreams is the number of upstreams of services. Services that it does not contain
	// are not checked for it, because a configuration does not state it.
	Upstreams map[fleet.Pool]int
}

// Report is the result of a check.
type Report struct {
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
}

// Check checks a configuration. Findings are in the order of the file. Differences are
// empty if the file has unknown fields or ones that could not be decoded.
func Check(d *Document, o Options) Report {
	c := checker{document: d, options: o, findings: slices.Clone(d.Findings)}
	configuration := &d.Configuration
	if o.InForce != nil && configuration.Version <= o.InForce.Version {
		c.add(SeverityError, RuleVersionNotAbove, Ref{Field: FieldVersion},
			"version %d is not above version %d, which is in force; hosts would ignore it", configuration.Version, o.InForce.Version)
	}
	c.checkLimits(configuration.Limits)
	c.checkServices(configuration.Services)
	c.checkRoutes(configuration)
	c.checkCustomers(configuration)
	sortFindings(c.findings)
	report := Report{Findings: c.findings, Differences: []Difference{}}
	if report.Findings == nil {
		report.Findings = []Finding{}
	}
	if o.InForce != nil && !d.Undecoded() {
		report.Differences = Compare(o.InForce, configuration)
	}
	return report
}

// checker collects the findings of one check.
type checker struct {
	document *Document
	options  Options
	findings []Finding
}

// add adds a finding unless the field could not be decoded.
func (c *checker) add(severity Severity, rule Rule, at Ref, format string, values ...any) {
	if c.document.Failed(at) {
		return
	}
	c.findings = append(c.findings, Finding{Severity: severity, Rule: rule, Place: c.document.Place(at), Text: fmt.Sprintf(format, values...)})
}

// line returns the line of a field.
func (c *checker) line(at Ref) int { return c.document.Place(at).Line }

// number is a field that must not be negative.
type number struct {
	field    Field
	part     int
	negative bool
}

func (c *checker) checkNumbers(index int, numbers ...number) {
	for _, n := range numbers {
		if n.negative {
			c.add(SeverityError, RuleNegative, Ref{Field: n.field, Index: index, Part: n.part}, "must not be negative")
		}
	}
}

// checkName checks that the name of an entry is not empty and not that of an earlier one.
func (c *checker) checkName(what, name string, at Ref, earlier map[string]int) {
	if c.document.Failed(at) {
		return
	}
	first, known := earlier[name]
	switch {
	case name == "":
		c.add(SeverityError, RuleEmptyName, at, "a %s must have a name", what)
	case known:
		c.add(SeverityError, RuleDuplicateName, at, "%s %q is already defined in line %d", what, name, c.line(Ref{Field: at.Field, Index: first}))
	default:
		earlier[name] = at.Index
	}
}

func (c *checker) checkLimits(l policy.Limits) {
	c.checkNumbers(0,
		number{field: FieldHeaderBytes, negative: l.HeaderBytes < 0},
		number{field: FieldBodyBytes, negative: l.BodyBytes < 0},
		number{field: FieldHeaderTimeout, negative: l.HeaderTimeout < 0},
		number{field: FieldIdleTimeout, negative: l.IdleTimeout < 0},
	)
}

func (c *checker) checkServices(services []policy.Service) {
	names := make(map[string]int, len(services))
	for i, s := range services {
		c.checkName("service", string(s.Name), Ref{Field: FieldServiceName, Index: i}, names)
		c.checkNumbers(i,
			number{field: FieldServiceConnections, negative: s.MaxConnections < 0},
			number{field: FieldServiceSlowStart, negative: s.SlowStart < 0},
			number{field: FieldServiceWarmupRate, negative: s.WarmupRate < 0},
		)
		if s.SlowStart > 0 && s.WarmupRate == 0 {
			c.add(SeverityWarning, RuleWarmupRate, Ref{Field: FieldServiceWarmupRate, Index: i},
				"the warm-up time is %s, but the warm-up rate is 0", s.SlowStart)
		}
	}
}

// routeKey is what selects a route.
type routeKey struct{ host, prefix string }

func (c *checker) checkRoutes(configuration *policy.Configuration) {
	services := c.serviceNames(configuration.Services)
	names := make(map[string]int, len(configuration.Routes))
	selected := make(map[routeKey]int, len(configuration.Routes))
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		at := func(f Field) Ref { return Ref{Field: f, Index: i} }
		c.checkName("route", string(r.Name), at(FieldRouteName), names)
		c.checkNumbers(i,
			number{field: FieldRouteTimeout, negative: r.Timeout < 0},
			number{field: FieldRouteTarget, negative: r.TargetLatency < 0},
			number{field: FieldRoutePriority, negative: r.Priority < 0},
		)
		c.checkSelection(i, r, selected)
		if r.Timeout > 0 && r.TargetLatency > r.Timeout {
			c.add(SeverityWarning, RuleTargetLatency, at(FieldRouteTarget), "the target latency of %s is above the timeout of %s", r.TargetLatency, r.Timeout)
		}
		c.checkParts(i, r, services)
	}
}

// serviceNames returns the names of the services, or nil if not all could be decoded.
func (c *checker) serviceNames(services []policy.Service) map[fleet.Pool]bool {
	names := make(map[fleet.Pool]bool, len(services))
	for i, s := range services {
		if c.document.Failed(Ref{Field: FieldServiceName, Index: i}) {
			return nil
		}
		names[s.Name] = true
	}
	if c.document.Failed(Ref{Field: FieldServices}) {
		return nil
	}
	return names
}

// checkSelection checks the host and prefix of a route.
func (c *checker) checkSelection(i int, r *policy.Route, selected map[routeKey]int) {
	host, prefix := Ref{Field: FieldRouteHost, Index: i}, Ref{Field: FieldRoutePrefix, Index: i}
	if r.Host == "" {
		c.add(SeverityError, RuleEmptyHost, host, "a route must have a host")
	}
	if strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]") {
		c.add(SeverityWarning, RuleHostWithPort, host, "host %q never matches: the port of a request is ignored", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(SeverityError, RulePrefix, prefix, "prefix %q must begin and end with a slash", r.PathPrefix)
	}
	if c.document.Failed(host) || c.document.Failed(prefix) {
		return
	}
	key := routeKey{host: strings.ToLower(r.Host), prefix: r.PathPrefix}
	first, known := selected[key]
	if !known {
		selected[key] = i
		return
	}
	c.add(SeverityError, RuleSameRoute, prefix, "route %q never matches: the route in line %d has the same host and prefix",
		r.Name, c.line(Ref{Field: FieldRouteName, Index: first}))
}

// checkParts checks the services of a route. Services is nil if they are unknown.
func (c *checker) checkParts(i int, r *policy.Route, services map[fleet.Pool]bool) {
	total := 0
	for _, part := range r.Parts {
		total += part.Weight
	}
	// All attempts of a request are made at the service that it was assigned to, so the
	// service with the most upstreams counts.
	upstreams, complete := 0, len(r.Parts) > 0
	for k, part := range r.Parts {
		service, weight := Ref{Field: FieldRoutePartService, Index: i, Part: k}, Ref{Field: FieldRoutePartWeight, Index: i, Part: k}
		if services != nil && !services[part.Service] {
			c.add(SeverityError, RuleUnknownService, service, "service %q is not defined", part.Service)
		}
		// Hosts assign the requests of a route whose weights are all 0 to the first service.
		first := total == 0 && k == 0
		switch {
		case part.Weight == 0 && first:
			c.add(SeverityWarning, RuleZeroWeight, weight, "service %q gets all requests of this route although its weight is 0: no other weight is above 0", part.Service)
		case part.Weight == 0:
			c.add(SeverityWarning, RuleZeroWeight, weight, "service %q gets no requests of this route: its weight is 0", part.Service)
		}
		c.checkNumbers(i, number{field: FieldRoutePartWeight, part: k, negative: part.Weight < 0})
		if part.Weight > 0 || first {
			n, known := c.options.Upstreams[part.Service]
			upstreams = max(upstreams, n)
			complete = complete && known
		}
	}
	if complete && r.MaxAttempts > upstreams {
		c.add(SeverityWarning, RuleTooManyAttempts, Ref{Field: FieldRouteAttempts, Index: i},
			"%d attempts are allowed, but no service of the route has more than %d upstreams", r.MaxAttempts, upstreams)
	}
}

func (c *checker) checkCustomers(configuration *policy.Configuration) {
	names := make(map[string]int, len(configuration.Customers))
	keys := make(map[policy.Digest]Ref)
	homes := c.routesByRegion(configuration.Routes)
	for i := range configuration.Customers {
		t := &configuration.Customers[i]
		at := func(f Field) Ref { return Ref{Field: f, Index: i} }
		c.checkName("customer", string(t.Name), at(FieldCustomerName), names)
		c.checkNumbers(i,
			number{field: FieldCustomerPriority, negative: t.Priority < 0},
			number{field: FieldCustomerRate, negative: t.Rate < 0},
			number{field: FieldCustomerBurst, negative: t.Burst < 0},
		)
		if t.Rate > 0 && t.Burst >= 0 && t.Burst < 1 {
			c.add(SeverityWarning, RuleBurst, at(FieldCustomerBurst), "the rate is limited and the burst of %g is below one request: hosts use their default burst instead", t.Burst)
		}
		c.checkKeys(i, configuration, keys)
		c.checkHomes(i, t, homes)
	}
}

// checkKeys checks the keys of a customer. Texts name customers and positions only.
func (c *checker) checkKeys(i int, configuration *policy.Configuration, earlier map[policy.Digest]Ref) {
	t := &configuration.Customers[i]
	if len(t.Keys) == 0 {
		c.add(SeverityWarning, RuleNoKey, Ref{Field: FieldCustomerKey, Index: i, Part: -1}, "customer %q has no key, so no request can be its", t.Name)
	}
	empty := policy.DigestOf("")
	for k, digest := range t.Keys {
		at := Ref{Field: FieldCustomerKey, Index: i, Part: k}
		if c.document.Failed(at) {
			continue
		}
		first, known := earlier[digest]
		switch {
		case digest == empty:
			c.add(SeverityError, RuleEmptyKey, at, "key %d of customer %q is empty", k+1, t.Name)
		case known:
			c.add(SeverityError, RuleDuplicateKey, at, "key %d of customer %q is the same as key %d of customer %q in line %d",
				k+1, t.Name, first.Part+1, configuration.Customers[first.Index].Name, c.line(first))
		default:
			earlier[digest] = at
		}
	}
}

// homedRoutes are the routes that have home regions.
type homedRoutes struct {
	names []string
	// byRegion are the indexes in names of the routes of each region.
	byRegion map[fleet.Region][]int
	// common holds for each name the last customer, counted from 1, that has a region in
	// common with the route. One list for all customers, because a configuration may have
	// thousands of them and of routes.
	common []int
}

// routesByRegion returns the routes that have home regions, without those whose regions
// could not be decoded.
func (c *checker) routesByRegion(routes []policy.Route) *homedRoutes {
	h := &homedRoutes{byRegion: map[fleet.Region][]int{}}
	for i := range routes {
		if c.document.Failed(Ref{Field: FieldRouteHomes, Index: i}) {
			continue
		}
		for _, region := range routes[i].Homes {
			h.byRegion[region] = append(h.byRegion[region], len(h.names))
		}
		if len(routes[i].Homes) > 0 {
			h.names = append(h.names, string(routes[i].Name))
		}
	}
	h.common = make([]int, len(h.names))
	return h
}

// maxNamed bounds how many routes one finding names.
const maxNamed = 5

// checkHomes reports the routes that share no region with a customer.
func (c *checker) checkHomes(i int, t *policy.Customer, routes *homedRoutes) {
	if len(t.Homes) == 0 {
		return
	}
	count := len(routes.names)
	for _, region := range t.Homes {
		for _, route := range routes.byRegion[region] {
			if routes.common[route] != i+1 {
				routes.common[route] = i + 1
				count--
			}
		}
	}
	if count == 0 {
		return
	}
	var names []string
	for route, name := range routes.names {
		if len(names) == min(count, maxNamed) {
			break
		}
		if routes.common[route] != i+1 {
			names = append(names, name)
		}
	}
	text := quoted(names)
	if more := count - len(names); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	c.add(SeverityWarning, RuleNoCommonRegion, Ref{Field: FieldCustomerHomes, Index: i},
		"customer %q has no region in common with routes %s: its requests there are refused", t.Name, text)
}

// quoted lists names in quotes, because a name may contain a separator.
func quoted[T ~string](names []T) string {
	list := make([]string, len(names))
	for i, name := range names {
		list[i] = fmt.Sprintf("%q", name)
	}
	return strings.Join(list, ", ")
}

// show writes a value of a configuration as operators write it.
func show(value any) string {
	switch value := value.(type) {
	case time.Duration:
		return value.String()
	case float64:
		if value == math.Trunc(value) && math.Abs(value) < 1e15 {
			return fmt.Sprintf("%.0f", value)
		}
		return fmt.Sprintf("%g", value)
	case []fleet.Region:
		if len(value) == 0 {
			return "all regions"
		}
		return quoted(value)
	}
	return fmt.Sprint(value)
}
