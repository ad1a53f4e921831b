// Package targetpb encodes what balancers tell the lease holder of their
// failure domain about targets: one byte for each target.
//
// # Usage
//
//	b, err := targetpb.Marshal(opined, cfg)
//	opined, err := targetpb.Unmarshal(b, cfg)
//
// Both ends need the same configuration number.
package targetpb

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// NumberError reports opinions about another configuration than the own one.
type NumberError struct {
	Got, Want uint64
}

func (e *NumberError) Error() string {
	return fmt.Sprintf("opinions about configuration %d, not %d", e.Got, e.Want)
}

// ShapeError reports opinions that don't fit the configuration of their number.
type ShapeError struct {
	Reason string
}

func (e *ShapeError) Error() string {
	return "opinions do not fit the configuration: " + e.Reason
}

// Marshal encodes o. Opinions about targets that cfg does not have are left out.
func Marshal(o target.OpinionsReplaced, cfg service.Config) ([]byte, error) {
	levels := make(map[target.Opinion]target.Level, len(o.Opinions))
	for _, p := range o.Opinions {
		levels[target.Opinion{Service: p.Service, Target: p.Target}] = p.Level
	}
	m := &Opined{Number: cfg.Number, Member: o.Member}
	for _, s := range cfg.Services {
		row := make([]byte, len(s.Pool))
		for i, t := range s.Pool {
			if level, ok := levels[target.Opinion{Service: s.Name, Target: t.Name}]; ok {
				row[i] = byte(level) + 1
			}
		}
		m.Levels = append(m.Levels, row)
	}
	return proto.Marshal(m)
}

// Unmarshal decodes opinions about the targets of cfg.
func Unmarshal(b []byte, cfg service.Config) (target.OpinionsReplaced, error) {
	var m Opined
	if err := proto.Unmarshal(b, &m); err != nil {
		return target.OpinionsReplaced{}, err
	}
	if m.GetNumber() != cfg.Number {
		return target.OpinionsReplaced{}, &NumberError{Got: m.GetNumber(), Want: cfg.Number}
	}
	if len(m.GetLevels()) != len(cfg.Services) {
		return target.OpinionsReplaced{}, &ShapeError{Reason: fmt.Sprintf("%d services", len(m.GetLevels()))}
	}
	o := target.OpinionsReplaced{Member: m.GetMember()}
	for i, s := range cfg.Services {
		opinions, err := decodeRow(m.GetLevels()[i], s)
		if err != nil {
			return target.OpinionsReplaced{}, err
		}
		o.Opinions = append(o.Opinions, opinions...)
	}
	return o, nil
}

func decodeRow(row []byte, s service.Service) ([]target.Opinion, error) {
	if len(row) != len(s.Pool) {
		return nil, &ShapeError{Reason: fmt.Sprintf("%d targets of %s", len(row), s.Name)}
	}
	var opinions []target.Opinion
	for i, t := range s.Pool {
		level := target.Level(row[i]) - 1
		switch {
		case level < target.LevelNone:
		case level > target.LevelFull:
			return nil, &ShapeError{Reason: fmt.Sprintf("level %d of %s", level, t.Name)}
		default:
			opinions = append(opinions, target.Opinion{Service: s.Name, Target: t.Name, Level: level})
		}
	}
	return opinions, nil
}
