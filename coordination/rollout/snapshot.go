package rollout

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// removalRetention is the number of generations for which a removed organisation
// stays listed; an entry that is further behind gets the whole manifest.
const removalRetention = 1000

// snapshot is one generation of the manifest; it is immutable.
type snapshot struct {
	generation state.Generation
	digest     uint64
	weights    state.Weights
	evacuated  []string
	// parts is sorted by name and includes removed organisations.
	parts    []decodedPart
	manifest *state.Manifest
}

// decodedPart is a part with its hash and, unless it was removed, its organisation.
type decodedPart struct {
	Part
	hash         uint64
	organisation state.Organisation
}

func (s *snapshot) manifestID() ManifestID {
	if s == nil {
		return ManifestID{}
	}
	return ManifestID{Generation: s.generation, Digest: s.digest}
}

func (s *snapshot) findPart(name string) (decodedPart, bool) {
	if s == nil {
		return decodedPart{}, false
	}
	i, found := slices.BinarySearchFunc(s.parts, name, func(p decodedPart, name string) int { return cmp.Compare(p.Name, name) })
	if !found {
		return decodedPart{}, false
	}
	return s.parts[i], true
}

// since returns the update from the given generation to this one, which is the
// whole manifest if the removals since then are no longer listed.
func (s *snapshot) since(generation state.Generation) Update {
	if generation+removalRetention < s.generation || generation > s.generation {
		generation = 0
	}
	u := Update{Generation: s.generation, Digest: s.digest, Weights: s.weights, Evacuated: s.evacuated, Since: generation}
	for i := range s.parts {
		if p := s.parts[i].Part; p.Changed > generation {
			u.Parts = append(u.Parts, p)
		}
	}
	return u
}

// apply returns the snapshot that results from applying the update to s, which may be nil.
func (s *snapshot) apply(u Update, decode func([]byte) (state.Organisation, error)) (*snapshot, error) {
	next := &snapshot{generation: u.Generation, digest: u.Digest, weights: u.Weights, evacuated: u.Evacuated}
	changed := make(map[string]bool, len(u.Parts))
	for _, p := range u.Parts {
		decoded, err := s.decodePart(p, decode)
		if err != nil {
			return nil, err
		}
		changed[p.Name] = true
		next.parts = append(next.parts, decoded)
	}
	if u.Since > 0 && s != nil {
		next.parts = append(next.parts, s.unchangedParts(changed, u.Generation)...)
	}
	slices.SortFunc(next.parts, func(a, b decodedPart) int { return cmp.Compare(a.Name, b.Name) })
	if digest := next.computeDigest(); digest != u.Digest {
		return nil, errors.Errorf("the parts of generation %d have digest %x, the update says %x", u.Generation, digest, u.Digest)
	}
	next.manifest = next.buildManifest()
	return next, nil
}

// decodePart decodes a part, or returns the one of s if that is the same.
func (s *snapshot) decodePart(p Part, decode func([]byte) (state.Organisation, error)) (decodedPart, error) {
	decoded := decodedPart{Part: p, hash: p.hash()}
	if len(p.Body) == 0 {
		return decoded, nil
	}
	if old, found := s.findPart(p.Name); found && old.hash == decoded.hash && old.Changed == p.Changed {
		return old, nil
	}
	organisation, err := decode(p.Body)
	if err != nil {
		return decodedPart{}, errors.Wrapf(err, "decode part %s", p.Name)
	}
	organisation.Changed = p.Changed
	decoded.organisation = organisation
	return decoded, nil
}

// unchangedParts returns the parts of s that the update to the generation neither
// changes nor makes old enough to leave out.
func (s *snapshot) unchangedParts(changed map[string]bool, generation state.Generation) (parts []decodedPart) {
	for i := range s.parts {
		p := s.parts[i]
		expired := len(p.Body) == 0 && p.Changed+removalRetention < generation
		if !changed[p.Name] && !expired {
			parts = append(parts, p)
		}
	}
	return parts
}

func (s *snapshot) computeDigest() uint64 {
	digest := hashWeights(s.weights) + hashEvacuated(s.evacuated)
	for i := range s.parts {
		digest += s.parts[i].hash
	}
	return digest
}

func (s *snapshot) buildManifest() *state.Manifest {
	m := &state.Manifest{Generation: s.generation, Weights: s.weights, Evacuated: s.evacuated}
	for i := range s.parts {
		if len(s.parts[i].Body) > 0 {
			m.Organisations = append(m.Organisations, s.parts[i].organisation)
		}
	}
	return m
}
