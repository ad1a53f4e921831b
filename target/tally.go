package target

// votes are the recent opinions about one target.
type votes struct {
	bad, good int
	// levels counts the good ones by level.
	levels [LevelFull + 1]int
}

// with returns v with n more opinions that name a level.
func (v votes) with(level Level, n int) votes {
	switch {
	case level <= LevelNone:
		v.bad += n
	default:
		v.good += n
		v.levels[min(level, LevelFull)] += n
	}
	return v
}

// median returns the lower median of the good opinions.
func (v votes) median() Level {
	rank := (v.good - 1) / 2
	for level := MinLevel; level < LevelFull; level++ {
		rank -= v.levels[level]
		if rank < 0 {
			return level
		}
	}
	return LevelFull
}

// tally sums up the opinions of all voices. It gives each target a slot, so that a
// voice takes a byte for a target.
type tally struct {
	slots map[key]int
	votes []votes
}

func newTally() *tally {
	return &tally{slots: make(map[key]int)}
}

// of returns the votes about a target.
func (t *tally) of(k key) votes {
	if i, ok := t.slots[k]; ok {
		return t.votes[i]
	}
	return votes{}
}

// level returns what the levels of a voice say about a target.
func (t *tally) level(levels []byte, k key) byte {
	i, ok := t.slots[k]
	if !ok || i >= len(levels) {
		return noOpinion
	}
	return levels[i]
}

// set changes what the levels of a voice say about a target, and returns them.
func (t *tally) set(levels []byte, o Opinion, b byte) []byte {
	return t.put(levels, key{o.Service, o.Target}, b)
}

func (t *tally) put(levels []byte, k key, b byte) []byte {
	i, ok := t.slots[k]
	if !ok {
		i = len(t.votes)
		t.slots[k] = i
		t.votes = append(t.votes, votes{})
	}
	if i >= len(levels) {
		levels = append(levels, make([]byte, len(t.votes)-len(levels))...)
	}
	t.count(i, levels[i], -1)
	t.count(i, b, 1)
	levels[i] = b
	return levels
}

// drop takes back all that the levels of a voice say.
func (t *tally) drop(levels []byte) {
	for i, b := range levels {
		t.count(i, b, -1)
	}
}

func (t *tally) count(i int, b byte, n int) {
	if b != noOpinion {
		t.votes[i] = t.votes[i].with(Level(b)-1, n)
	}
}
