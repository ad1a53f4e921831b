package target

import (
	"time"

	"wisteriaweir/service"
)

// Bounds of reports.
const (
	// wholeInterval is the time after which a balancer tells everything again.
	wholeInterval = 30 * time.Second
	// maxChanges bounds the changes of one report. More make a whole one.
	maxChanges = 512
	// keptWholes bounds the whole reports that both ends remember.
	keptWholes = 8
)

// noOpinion stands for no opinion in a row of levels, where a level is one more
// than its value.
const noOpinion = 0

// OpinionReport tells the holder of a failure domain's lease what one balancer has seen
// of all targets: the whole of it, or what changed since a whole report that the
// holder has acknowledged.
type OpinionReport struct {
	// Number grows by one with each report of the balancer.
	Number uint64
	// Base is the number of the whole report that Changes are against, 0 if this
	// is a whole report.
	Base uint64
	// Config is the number of the configuration whose targets are meant.
	Config uint64
	// Levels has a byte for each target of the configuration, in its order: the
	// level plus one, or 0 for no opinion.
	Levels []byte
	// Changes are what differs from the base.
	Changes []LevelChange
}

// LevelChange is a byte of OpinionReport.Levels that differs.
type LevelChange struct {
	Index uint32
	Level byte
}

// levelsOf returns the levels of opinions in the order of a configuration.
func levelsOf(opinions []Opinion, cfg service.Config) []byte {
	given := make(map[key]Level, len(opinions))
	for _, o := range opinions {
		given[key{o.Service, o.Target}] = o.Level
	}
	var levels []byte
	for _, s := range cfg.Services {
		for _, t := range s.Pool {
			b := byte(noOpinion)
			if level, ok := given[key{s.Name, t.Name}]; ok {
				b = byte(level) + 1
			}
			levels = append(levels, b)
		}
	}
	return levels
}

// opinionsOf returns the opinions that levels stand for, and false if they do
// not fit the configuration.
func opinionsOf(levels []byte, cfg service.Config) ([]Opinion, bool) {
	var opinions []Opinion
	for _, s := range cfg.Services {
		if len(levels) < len(s.Pool) {
			return nil, false
		}
		for i, t := range s.Pool {
			switch b := levels[i]; {
			case b > byte(LevelFull)+1:
				return nil, false
			case b != noOpinion:
				opinions = append(opinions, Opinion{Service: s.Name, Target: t.Name, Level: Level(b) - 1})
			}
		}
		levels = levels[len(s.Pool):]
	}
	return opinions, len(levels) == 0
}

// whole is a whole report that was sent or received.
type whole struct {
	number uint64
	config uint64
	levels []byte
	at     time.Duration
}

// keep appends w to a list of bounded length.
func keep(wholes []whole, w whole) []whole {
	if len(wholes) == keptWholes {
		wholes = wholes[1:]
	}
	return append(wholes, w)
}

// find returns the whole report with the given number.
func find(wholes []whole, number uint64) (whole, bool) {
	for _, w := range wholes {
		if w.number == number {
			return w, true
		}
	}
	return whole{}, false
}
