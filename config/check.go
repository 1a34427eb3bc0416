package config

import (
	"strings"

	"github.com/hyssopladder/hyssopladder/result"
)

// Check verifies a revision as a whole. Its error has code ConfigInvalid.
func (r *Revision) Check() error {
	if r.Number == 0 {
		return invalid("a revision needs a number above 0")
	}
	services := map[string]bool{}
	for i := range r.Services {
		name := r.Services[i].Name
		if name == "" || services[name] {
			return invalid("service %d: the name %q is empty or used twice", i, name)
		}
		services[name] = true
	}
	routeNames := map[string]string{}
	for i := range r.Routes {
		if err := r.Routes[i].check(services); err != nil {
			return err
		}
		match := r.Routes[i].Host + "\x00" + r.Routes[i].Prefix
		if other, taken := routeNames[match]; taken {
			return invalid("routes %q and %q share host and prefix", other, r.Routes[i].Name)
		}
		routeNames[match] = r.Routes[i].Name
	}
	return r.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("route %q: prefix %q doesn't begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return invalid("route %q: a timeout above 0 is needed", r.Name)
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		return invalid("route %q: unknown kind %q", r.Name, r.Kind)
	}
	total := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return invalid("route %q: unknown service %q", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return invalid("route %q: negative weight", r.Name)
		}
		total += b.Weight
	}
	if total <= 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (r *Revision) checkKeys() error {
	if len(r.Organisations) > 0 && !r.KeysRequired {
		return invalid("%d organisations, but no keys are required", len(r.Organisations))
	}
	owners := map[string]string{}
	for i := range r.Organisations {
		organisation := &r.Organisations[i]
		for _, key := range organisation.Keys {
			if owner, taken := owners[key]; taken && owner != organisation.Name {
				return invalid("organisations %q and %q share a key", owner, organisation.Name)
			}
			owners[key] = organisation.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.ConfigInvalid, result.RanNo, format, args...)
}
