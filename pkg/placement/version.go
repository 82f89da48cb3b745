package placement

import (
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

// versionState holds what a pool knows of the versions of its servers, and the restriction of the
// selections to one of them.
type versionState struct {
	// groups holds the servers of each version, so that a sample of a large pool can be drawn from the few
	// servers of a new version.
	groups map[string]*versionGroup
	// ready lists the versions of the ready servers. It is valid if readyKnown is set, which ends with each
	// change of the servers.
	ready      []rollout.ReadyVersion
	readyKnown bool
	// restricted means that selections consider only servers of the version allowed.
	restricted bool
	allowed    string
}

// versionGroup holds the servers of one version, and those of them in the gateway's data centre.
type versionGroup struct{ all, local serverList }

// Restrict restricts all selections that follow to servers of a version, until the next call of Restrict or
// Unrestrict.
func (p *Pool) Restrict(version string) { p.versions.restricted, p.versions.allowed = true, version }

// Unrestrict ends the restriction of selections to a version.
func (p *Pool) Unrestrict() { p.versions.restricted, p.versions.allowed = false, "" }

// allowsVersion reports whether the restriction lets a server be selected.
func (p *Pool) allowsVersion(s *Server) bool {
	return !p.versions.restricted || s.Version == p.versions.allowed
}

// selectable lists the servers that the restriction lets be selected, and those of them in the gateway's
// data centre.
func (p *Pool) selectable() (all, local []*Server) {
	if !p.versions.restricted {
		return p.all.servers, p.local.servers
	}
	if group := p.versions.groups[p.versions.allowed]; group != nil {
		return group.all.servers, group.local.servers
	}
	return nil, nil
}

// addVersion adds a server to the group of its version.
func (p *Pool) addVersion(s *Server) {
	p.versions.readyKnown = false
	group := p.versions.groups[s.Version]
	if group == nil {
		group = &versionGroup{
			all:   serverList{index: func(s *Server) *int { return &s.versionIndex }},
			local: serverList{index: func(s *Server) *int { return &s.versionLocalIndex }},
		}
		if p.versions.groups == nil {
			p.versions.groups = map[string]*versionGroup{}
		}
		p.versions.groups[s.Version] = group
	}
	group.all.add(s)
	if s.DataCentre == p.dataCentre {
		group.local.add(s)
	}
}

// removeVersion removes a server from the group of its version.
func (p *Pool) removeVersion(s *Server) {
	p.versions.readyKnown = false
	group := p.versions.groups[s.Version]
	group.all.remove(s)
	if s.DataCentre == p.dataCentre {
		group.local.remove(s)
	}
	if len(group.all.servers) == 0 {
		delete(p.versions.groups, s.Version)
	}
}

// ReadyVersions returns the versions of the ready servers, one entry each, in no particular order. The
// result is valid until servers change. It costs no more than a check unless they did.
func (p *Pool) ReadyVersions() []rollout.ReadyVersion {
	if p.versions.readyKnown {
		return p.versions.ready
	}
	p.versions.ready, p.versions.readyKnown = p.versions.ready[:0], true
	for version, group := range p.versions.groups {
		oldest, found := int64(0), false
		for _, s := range group.all.servers {
			if s.State == directory.Ready && !s.leaving && (!found || s.StartedMS < oldest) {
				oldest, found = s.StartedMS, true
			}
		}
		if found {
			p.versions.ready = append(p.versions.ready, rollout.ReadyVersion{Version: version, StartedMS: oldest})
		}
	}
	return p.versions.ready
}
