package target

// votes counts the current opinions about one target.
type votes struct {
	unhealthy, healthy int
	// levels counts the healthy opinions by level.
	levels [LevelFull + 1]int
}

// with returns v with n more opinions of a level; n may be negative. An opinion of
// LevelNone is an unhealthy one.
func (v votes) with(level Level, n int) votes {
	switch {
	case level <= LevelNone:
		v.unhealthy += n
	default:
		v.healthy += n
		v.levels[min(level, LevelFull)] += n
	}
	return v
}

// median returns the lower median of the levels of the healthy opinions.
func (v votes) median() Level {
	rank := (v.healthy - 1) / 2
	for level := MinLevel; level < LevelFull; level++ {
		rank -= v.levels[level]
		if rank < 0 {
			return level
		}
	}
	return LevelFull
}

// voteCounts counts the opinions of all balancers by target. Each target has an index in
// votes and in the levels of each balancer, so that a balancer's opinion on a target takes
// one byte.
type voteCounts struct {
	indexes map[targetKey]int
	votes   []votes
}

func newVoteCounts() *voteCounts {
	return &voteCounts{indexes: make(map[targetKey]int)}
}

// votesFor returns the votes about a target.
func (t *voteCounts) votesFor(k targetKey) votes {
	if i, ok := t.indexes[k]; ok {
		return t.votes[i]
	}
	return votes{}
}

// opinionByte returns the byte of a target in the levels of one balancer.
func (t *voteCounts) opinionByte(levels []byte, k targetKey) byte {
	i, ok := t.indexes[k]
	if !ok || i >= len(levels) {
		return noOpinion
	}
	return levels[i]
}

// setOpinion sets the byte of a target in the levels of one balancer to b, updates the
// votes, and returns the levels.
func (t *voteCounts) setOpinion(levels []byte, o Opinion, b byte) []byte {
	return t.setOpinionByte(levels, targetKey{o.Service, o.Target}, b)
}

// setOpinionByte does the same as setOpinion for a target key. It assigns an index to a
// new target.
func (t *voteCounts) setOpinionByte(levels []byte, k targetKey, b byte) []byte {
	i, ok := t.indexes[k]
	if !ok {
		i = len(t.votes)
		t.indexes[k] = i
		t.votes = append(t.votes, votes{})
	}
	if i >= len(levels) {
		levels = append(levels, make([]byte, len(t.votes)-len(levels))...)
	}
	t.addVotes(i, levels[i], -1)
	t.addVotes(i, b, 1)
	levels[i] = b
	return levels
}

// removeAll removes the votes that the levels of one balancer encode.
func (t *voteCounts) removeAll(levels []byte) {
	for i, b := range levels {
		t.addVotes(i, b, -1)
	}
}

// addVotes adds n votes with the opinion b to the target at index i; n may be negative. It
// does nothing if b is noOpinion.
func (t *voteCounts) addVotes(i int, b byte, n int) {
	if b != noOpinion {
		t.votes[i] = t.votes[i].with(Level(b)-1, n)
	}
}
