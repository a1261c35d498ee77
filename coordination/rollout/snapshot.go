package rollout

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// removalsKept is for how many generations a removed organisation is
// remembered; an entry that is further behind gets the whole manifest.
const removalsKept = 1000

// snapshot is one generation of the manifest; it does not change once built.
type snapshot struct {
	generation state.Generation
	digest     uint64
	weights    state.Weights
	// parts is sorted by name and holds removed organisations too.
	parts    []heldPart
	manifest *state.Manifest
}

type heldPart struct {
	Part
	hash         uint64
	organisation state.Organisation
}

func (s *snapshot) have() Have {
	if s == nil {
		return Have{}
	}
	return Have{Generation: s.generation, Digest: s.digest}
}

func (s *snapshot) find(name string) (heldPart, bool) {
	if s == nil {
		return heldPart{}, false
	}
	i, found := slices.BinarySearchFunc(s.parts, name, func(p heldPart, name string) int { return cmp.Compare(p.Name, name) })
	if !found {
		return heldPart{}, false
	}
	return s.parts[i], true
}

// since returns the update from that generation to this one.
func (s *snapshot) since(generation state.Generation) Update {
	if generation+removalsKept < s.generation || generation > s.generation {
		generation = 0
	}
	u := Update{Generation: s.generation, Digest: s.digest, Weights: s.weights, Since: generation}
	for i := range s.parts {
		if p := s.parts[i].Part; p.Changed > generation {
			u.Parts = append(u.Parts, p)
		}
	}
	return u
}

// apply returns the snapshot that an update leads to from s, which may be nil.
func (s *snapshot) apply(u Update, decode func([]byte) (state.Organisation, error)) (*snapshot, error) {
	next := &snapshot{generation: u.Generation, digest: u.Digest, weights: u.Weights}
	changed := make(map[string]bool, len(u.Parts))
	for _, p := range u.Parts {
		held, err := s.hold(p, decode)
		if err != nil {
			return nil, err
		}
		changed[p.Name] = true
		next.parts = append(next.parts, held)
	}
	if u.Since > 0 && s != nil {
		next.parts = append(next.parts, s.unchanged(changed, u.Generation)...)
	}
	slices.SortFunc(next.parts, func(a, b heldPart) int { return cmp.Compare(a.Name, b.Name) })
	if digest := next.sum(); digest != u.Digest {
		return nil, errors.Errorf("the parts of generation %d add up to digest %x, not %x", u.Generation, digest, u.Digest)
	}
	next.manifest = next.build()
	return next, nil
}

func (s *snapshot) hold(p Part, decode func([]byte) (state.Organisation, error)) (heldPart, error) {
	held := heldPart{Part: p, hash: p.hash()}
	if len(p.Body) == 0 {
		return held, nil
	}
	if old, found := s.find(p.Name); found && old.hash == held.hash && old.Changed == p.Changed {
		return old, nil
	}
	organisation, err := decode(p.Body)
	if err != nil {
		return heldPart{}, errors.Wrapf(err, "decode part %s", p.Name)
	}
	organisation.Changed = p.Changed
	held.organisation = organisation
	return held, nil
}

func (s *snapshot) unchanged(changed map[string]bool, generation state.Generation) (parts []heldPart) {
	for i := range s.parts {
		p := s.parts[i]
		forgotten := len(p.Body) == 0 && p.Changed+removalsKept < generation
		if !changed[p.Name] && !forgotten {
			parts = append(parts, p)
		}
	}
	return parts
}

func (s *snapshot) sum() uint64 {
	digest := hashWeights(s.weights)
	for i := range s.parts {
		digest += s.parts[i].hash
	}
	return digest
}

func (s *snapshot) build() *state.Manifest {
	m := &state.Manifest{Generation: s.generation, Weights: s.weights}
	for i := range s.parts {
		if len(s.parts[i].Body) > 0 {
			m.Organisations = append(m.Organisations, s.parts[i].organisation)
		}
	}
	return m
}
