package settings

import (
	"maps"
	"slices"

	"github.com/hazelworks/hazelworks/core/jsontree"
)

func (r *resolver) resolveServices(firm string, n *jsontree.Node) {
	s := scope{section: sectionService, firm: firm}
	var inherited serviceValues
	s.decodeInherited(r.root, &inherited)
	for _, m := range entries(n) {
		at, ok := r.locateEntry(s, m)
		if !ok {
			continue
		}
		spec := serviceSpec{serviceValues: inherited}
		m.Value.Decode(at.path, &spec, &r.list)
		service := newService(firm, m.Name, &spec)
		r.checkService(at, &service)
		service.Upstreams = r.resolveUpstreams(at, firm, m)
		r.checkUpstreams(at, &service)
		r.out.Services = append(r.out.Services, service)
	}
}

func newService(firm, name string, spec *serviceSpec) Service {
	service := Service{
		Name:           firm + "/" + name,
		Firm:           firm,
		Kind:           spec.Kind,
		Repeatable:     spec.Repeatable,
		Price:          Price(spec.Price),
		MaxOutput:      spec.MaxOutput,
		RequestTimeout: spec.RequestTimeout,
		IdleTimeout:    spec.IdleTimeout,
		QueueLimit:     spec.QueueLimit,
		QueueTimeout:   spec.QueueTimeout,
		RetryShare:     spec.RetryShare,
		MaxBodyBytes:   spec.MaxBodyBytes,
		FirmWeights:    spec.FirmWeights,
	}
	for _, model := range slices.Sorted(maps.Keys(spec.Models)) {
		m := spec.Models[model]
		service.Models = append(service.Models, Model{
			Name:        model,
			Version:     m.Version,
			Adapters:    m.Adapters,
			MinReplicas: m.MinReplicas,
		})
	}
	return service
}

// declares reports whether the entry or a level above it declares the named value.
func (r *resolver) declares(s scope, at location, name string) bool {
	if at.node.Get(name) != nil {
		return true
	}
	for _, l := range s.levels(r.root) {
		if l.node.Get(name) != nil {
			return true
		}
	}
	return false
}

func (r *resolver) checkService(at location, service *Service) {
	if at.node.Get("kind") == nil {
		r.addf(at, "kind", `missing: "model" or "plain"`)
	}
	if !r.declares(scope{section: sectionService, firm: service.Firm}, at, "repeatable") {
		r.addf(at, "repeatable", "missing: say whether a request may run twice")
	}
	if service.Kind == ServiceModel && len(service.Models) == 0 {
		r.addf(at, "models", "missing: a model service offers at least one")
	}
	if service.Kind == ServicePlain && len(service.Models) > 0 {
		r.addf(at, "models", "a plain service has no models")
	}
	if service.IdleTimeout > service.RequestTimeout {
		r.addf(at, "idle_timeout", "%s exceeds the request_timeout of %s", service.IdleTimeout, service.RequestTimeout)
	}
	for _, model := range service.Models {
		if !modelPattern.MatchString(model.Name) {
			r.addf(at, "models", "model name %q: %s", model.Name, modelRule)
		}
	}
}

func (r *resolver) resolveUpstreams(service location, firm string, m jsontree.Member) []Upstream {
	s := scope{section: sectionUpstream, firm: firm, service: m.Name}
	var inherited upstreamValues
	s.decodeInherited(r.root, &inherited)
	var upstreams []Upstream
	for _, u := range entries(service.node.Get("upstreams")) {
		at, ok := r.locateEntry(s, u)
		if !ok {
			continue
		}
		spec := upstreamSpec{upstreamValues: inherited}
		u.Value.Decode(at.path, &spec, &r.list)
		r.checkUpstream(at, &spec)
		upstreams = append(upstreams, Upstream{
			ID:            firm + "/" + m.Name + "/" + u.Name,
			URL:           string(spec.URL),
			FailureDomain: spec.FailureDomain,
			Models:        spec.Models,
			Role:          spec.Role,
			Slots:         spec.Slots,
			ChecksFencing: spec.ChecksFencing,
			Leaving:       spec.Leaving,
		})
	}
	return upstreams
}

func (r *resolver) checkUpstream(at location, spec *upstreamSpec) {
	if at.node.Get("url") == nil {
		r.addf(at, "url", "missing")
	}
	if spec.FailureDomain == "" {
		r.addf(at, "failure_domain", "missing")
	}
}

func (r *resolver) checkUpstreams(at location, service *Service) {
	urls := make(map[string]string, len(service.Upstreams))
	for _, u := range service.Upstreams {
		if first, duplicate := urls[u.URL]; duplicate && u.URL != "" {
			r.addf(at, "upstreams", "%s and %s have the same url", first, u.ID)
		}
		urls[u.URL] = u.ID
		for _, model := range u.Models {
			if !offersModel(service, model) {
				r.addf(at, "upstreams", "%s serves model %q, which the service does not offer", u.ID, model)
			}
		}
	}
	for _, m := range service.Models {
		if m.MinReplicas > len(service.Upstreams) {
			r.addf(at, "models", "%s wants %d replicas, the service has %d upstreams", m.Name, m.MinReplicas, len(service.Upstreams))
		}
	}
}

func offersModel(service *Service, model string) bool {
	return slices.ContainsFunc(service.Models, func(m Model) bool { return m.Name == model })
}

// checkReferences checks that the services and firms that entries refer to exist,
// and that firm weights are positive.
func (r *resolver) checkReferences() {
	for i := range r.out.Accounts {
		account := &r.out.Accounts[i]
		at := r.locationOf("firms/" + account.Firm + "/accounts/" + account.Name)
		for _, name := range account.Services {
			if _, ok := r.out.Service(name); !ok {
				r.addf(at, "services", "there is no service %q", name)
			}
		}
	}
	for i := range r.out.Services {
		service := &r.out.Services[i]
		at := r.locationOf(servicePath(service))
		for _, firm := range slices.Sorted(maps.Keys(service.FirmWeights)) {
			if r.root.Find("firms/"+firm) == nil {
				r.addf(at, "firm_weights", "there is no firm %q", firm)
			}
			if weight := service.FirmWeights[firm]; weight <= 0 {
				r.addf(at, "firm_weights", "the weight of %s must be above 0, got %v", firm, weight)
			}
		}
	}
}

func servicePath(service *Service) string {
	return "firms/" + service.Firm + "/services/" + service.Name[len(service.Firm)+1:]
}

func (r *resolver) locationOf(path string) location {
	return location{path, r.root.Find(path)}
}
